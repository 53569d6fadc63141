// The outline of a JSON text that is known to be valid: where the members of an object and the items of a
// list stand, without reading what is in them. So a large text can be changed in a few places while all else
// stays as it was written.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlug::configuration {

struct JsonMember {
  std::string name;
  std::string_view raw_name;  // with its quotes
  std::string_view value;
};

enum class JsonKind { kObject, kList, kString, kNull, kOther };
JsonKind KindOf(std::string_view value);

// In the order of the text; of members with the same name only the last. Empty for what is no object.
std::vector<JsonMember> ObjectMembers(std::string_view object);
// Empty for what is no list.
std::vector<std::string_view> ListItems(std::string_view list);
// The last member of that name.
std::optional<std::string_view> FindMember(std::string_view object, std::string_view name);
// Content of a string, with its escapes resolved.
std::string StringContent(std::string_view string);
// The JSON string of a content.
std::string QuotedString(std::string_view content);

inline constexpr std::size_t kMaxJsonDepth = 100;
bool IsValidJson(std::string_view text);

}  // namespace lichenlug::configuration
