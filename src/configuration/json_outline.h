// Locates the members of an object and the items of a list in a valid JSON text, without parsing their
// values. This way a large text can be changed in a few places while all other values keep their exact text.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlug::configuration {

struct JsonMember {
  std::string name;
  std::string_view raw_name;  // including the quotes
  std::string_view value;
};

enum class JsonKind { kObject, kList, kString, kNull, kOther };
JsonKind JsonKindOf(std::string_view value);

// In the order of the text; the last value wins if a name is repeated. Empty if `object` is not an object.
std::vector<JsonMember> ObjectMembers(std::string_view object);
// Empty if `list` is not a list.
std::vector<std::string_view> ListItems(std::string_view list);
// The value of the last member with that name.
std::optional<std::string_view> FindMember(std::string_view object, std::string_view name);
// The content of a JSON string, with its escape sequences decoded.
std::string StringContent(std::string_view string);
// `content` as a JSON string, quoted and escaped.
std::string QuotedString(std::string_view content);

inline constexpr std::size_t kMaxJsonDepth = 100;
inline constexpr std::size_t kMaxJsonValues = 1'000'000;
bool IsValidJson(std::string_view text);  // of at most so many values

}  // namespace lichenlug::configuration
