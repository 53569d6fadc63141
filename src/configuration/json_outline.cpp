#include "configuration/json_outline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <limits>
#include <unordered_map>
#include <utility>

namespace lichenlug::configuration {
namespace {

boost::json::string_view ToBoostView(std::string_view text) { return {text.data(), text.size()}; }

// Iterates over the members or items of one container. Never reads past the end of the text, even if it is
// invalid.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) { SkipSpace(); }

  bool Enter(char opening) {
    if (Peek() != opening) return false;
    ++position_;
    SkipSpace();
    return true;
  }

  // The raw text of the next value; empty at the end of the container.
  std::string_view Value() {
    SkipSpace();
    const std::size_t start = position_;
    if (Peek() == '"') {
      SkipString();
    } else if (Peek() == '{' || Peek() == '[') {
      SkipContainer();
    } else {
      while (position_ < text_.size() && !IsDelimiter(text_[position_])) ++position_;
    }
    const std::string_view value = text_.substr(start, position_ - start);
    SkipSpace();
    return value;
  }

  void Skip(char separator) {
    if (Peek() == separator) ++position_;
    SkipSpace();
  }

 private:
  static bool IsSpace(char c) { return c == ' ' || c == '\n' || c == '\r' || c == '\t'; }
  static bool IsDelimiter(char c) { return IsSpace(c) || c == ',' || c == ']' || c == '}' || c == ':'; }

  char Peek() const { return position_ < text_.size() ? text_[position_] : '\0'; }
  void SkipSpace() {
    while (position_ < text_.size() && IsSpace(text_[position_])) ++position_;
  }
  void SkipString() {
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == '\\') {
        ++position_;
      } else if (text_[position_] == '"') {
        ++position_;
        return;
      }
    }
    position_ = text_.size();
  }
  void SkipContainer() {
    int depth = 0;
    while (position_ < text_.size()) {
      const char c = text_[position_];
      if (c == '"') {
        SkipString();
        continue;
      }
      ++position_;
      if (c == '{' || c == '[') ++depth;
      if ((c == '}' || c == ']') && --depth == 0) return;
    }
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

// Callbacks of a parser that keeps nothing but the number of values.
struct CountingHandler {
  using Error = boost::json::error_code;
  using Text = boost::json::string_view;

  // Names required by the parser. NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();
  // NOLINTEND(readability-identifier-naming)

  std::size_t values = 0;

  bool Count(std::size_t more, Error& error) {
    values += more;
    if (values > kMaxJsonValues) error = boost::json::error::exception;
    return values <= kMaxJsonValues;
  }
  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error& error) { return Count(1, error); }
  bool on_object_end(std::size_t, Error&) { return true; }
  bool on_array_begin(Error& error) { return Count(1, error); }
  bool on_array_end(std::size_t, Error&) { return true; }
  bool on_key_part(Text, std::size_t, Error&) { return true; }
  bool on_key(Text, std::size_t, Error&) { return true; }
  bool on_string_part(Text, std::size_t, Error&) { return true; }
  bool on_string(Text, std::size_t, Error& error) { return Count(1, error); }
  bool on_number_part(Text, Error&) { return true; }
  bool on_int64(std::int64_t, Text, Error& error) { return Count(1, error); }
  bool on_uint64(std::uint64_t, Text, Error& error) { return Count(1, error); }
  bool on_double(double, Text, Error& error) { return Count(1, error); }
  bool on_bool(bool, Error& error) { return Count(1, error); }
  bool on_null(Error& error) { return Count(1, error); }
  bool on_comment_part(Text, Error&) { return true; }
  bool on_comment(Text, Error&) { return true; }
};

template <typename Visit>
void VisitMembers(std::string_view object, const Visit& visit) {
  Scanner scanner(object);
  if (!scanner.Enter('{')) return;
  while (true) {
    const std::string_view raw_name = scanner.Value();
    if (raw_name.empty()) return;
    scanner.Skip(':');
    visit(raw_name, scanner.Value());
    scanner.Skip(',');
  }
}

}  // namespace

JsonKind JsonKindOf(std::string_view value) {
  value.remove_prefix(std::min(value.find_first_not_of(" \n\r\t"), value.size()));
  if (value.empty()) return JsonKind::kOther;
  switch (value.front()) {
    case '{':
      return JsonKind::kObject;
    case '[':
      return JsonKind::kList;
    case '"':
      return JsonKind::kString;
    case 'n':
      return JsonKind::kNull;
    default:
      return JsonKind::kOther;
  }
}

std::string StringContent(std::string_view string) {
  if (string.find('\\') == std::string_view::npos) return std::string(string.substr(1, string.size() - 2));
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(ToBoostView(string), error);
  return error || !value.is_string() ? std::string()
                                     : std::string(value.get_string().c_str(), value.get_string().size());
}

std::string QuotedString(std::string_view content) {
  return boost::json::serialize(boost::json::string(ToBoostView(content)));
}

bool IsValidJson(std::string_view text) {
  boost::json::error_code error;
  boost::json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::json::basic_parser<CountingHandler> parser(options);
  const std::size_t read = parser.write_some(false, text.data(), text.size(), error);
  return !error && read == text.size();
}

std::vector<JsonMember> ObjectMembers(std::string_view object) {
  std::vector<JsonMember> members;
  std::unordered_map<std::string, std::size_t> index_by_name;
  VisitMembers(object, [&](std::string_view raw_name, std::string_view value) {
    std::string name = StringContent(raw_name);
    const auto [entry, added] = index_by_name.emplace(name, members.size());
    if (added) {
      members.push_back({std::move(name), raw_name, value});
    } else {
      members[entry->second].value = value;
    }
  });
  return members;
}

std::vector<std::string_view> ListItems(std::string_view list) {
  std::vector<std::string_view> items;
  Scanner scanner(list);
  if (!scanner.Enter('[')) return items;
  while (true) {
    const std::string_view item = scanner.Value();
    if (item.empty()) return items;
    items.push_back(item);
    scanner.Skip(',');
  }
}

std::optional<std::string_view> FindMember(std::string_view object, std::string_view name) {
  std::optional<std::string_view> found;
  VisitMembers(object, [&](std::string_view raw_name, std::string_view value) {
    const bool plain = raw_name.find('\\') == std::string_view::npos;
    const bool same =
        plain ? raw_name.substr(1, raw_name.size() - 2) == name : StringContent(raw_name) == name;
    if (same) found = value;
  });
  return found;
}

}  // namespace lichenlug::configuration
