#include "configuration/json_reader.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include "configuration/json_outline.h"
#include "configuration/message_builder.h"

namespace lichenlug::configuration {
namespace {

constexpr double kInt64Limit = 9223372036854775808.0;  // 2^63, the smallest value that doesn't fit

using Error = boost::json::error_code;
using Text = boost::json::string_view;

// Callbacks of the parser, which passes strings and keys in parts. A callback stops the parser by setting
// `error` and returning false.
class Handler {
 public:
  // Names required by the parser. NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();
  // NOLINTEND(readability-identifier-naming)

  explicit Handler(google::protobuf::Message* root) : builder(root) {}

  MessageBuilder builder;

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error& error) { return ContinueIf(builder.BeginObject(), error); }
  bool on_object_end(std::size_t, Error&) { return builder.EndObject(); }
  bool on_array_begin(Error& error) { return ContinueIf(builder.BeginList(), error); }
  bool on_array_end(std::size_t, Error&) { return builder.EndList(); }
  bool on_key_part(Text part, std::size_t, Error&) { return AppendText(part); }
  bool on_key(Text part, std::size_t, Error&) {
    AppendText(part);
    builder.Key(partial_text_);
    partial_text_.clear();
    return true;
  }
  bool on_string_part(Text part, std::size_t, Error&) { return AppendText(part); }
  bool on_string(Text part, std::size_t, Error& error) {
    AppendText(part);
    return ContinueIf(builder.String(std::exchange(partial_text_, {})), error);
  }
  bool on_number_part(Text, Error&) { return true; }
  bool on_int64(std::int64_t value, Text, Error& error) { return ContinueIf(builder.Integer(value), error); }
  bool on_uint64(std::uint64_t value, Text, Error& error) {  // only for values that don't fit into 63 bits
    return ContinueIf(builder.Double(static_cast<double>(value)), error);
  }
  bool on_double(double value, Text, Error& error) {
    const bool whole = std::trunc(value) == value && std::abs(value) < kInt64Limit;
    return ContinueIf(whole ? builder.Integer(static_cast<std::int64_t>(value)) : builder.Double(value),
                      error);
  }
  bool on_bool(bool value, Error& error) { return ContinueIf(builder.Bool(value), error); }
  bool on_null(Error& error) { return ContinueIf(builder.Null(), error); }
  bool on_comment_part(Text, Error&) { return true; }
  bool on_comment(Text, Error&) { return true; }

 private:
  static bool ContinueIf(bool fits, Error& error) {
    if (!fits) error = boost::json::error::exception;
    return fits;
  }
  bool AppendText(Text part) {
    partial_text_.append(part.data(), part.size());
    return true;
  }

  std::string partial_text_;  // the parts so far of the current key or string
};

}  // namespace

ReadResult ReadJson(std::string_view text, google::protobuf::Message* message) {
  boost::json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::json::basic_parser<Handler> parser(options, message);
  Error error;
  const std::size_t read = parser.write_some(false, text.data(), text.size(), error);
  MessageBuilder& builder = parser.handler().builder;
  ReadResult result{std::move(builder.problem), std::move(builder.present)};
  if (!result.problem && (error || read < text.size())) {
    result.problem =
        Problem{"JSON", "byte " + std::to_string(read), "can't be parsed: send the complete text"};
  }
  return result;
}

}  // namespace lichenlug::configuration
