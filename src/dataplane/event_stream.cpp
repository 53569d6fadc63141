#include "dataplane/event_stream.h"

#include <charconv>

namespace lichenlug::dataplane {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

void EventStream::ReadLine(std::string_view line) {
  has_field_ = has_field_ || !line.starts_with(':');
  if (!line.starts_with(kIdField)) return;
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), number);
  if (error == std::errc() && end == line.data() + line.size()) id_ = number;
}

// A line ends with LF, CR LF or CR. Only the byte after a CR shows whether it belongs to a CR LF; a blank
// line that ends with a CR is passed on without waiting for that byte.
bool EventStream::Next(std::size_t* begin, Event* event) {
  while (true) {
    const std::size_t end = buffer_.find_first_of("\r\n", scanned_);
    if (end == std::string::npos) return scanned_ = buffer_.size(), false;
    const bool blank = end == line_begin_, cr = buffer_[end] == '\r';
    if (cr && end + 1 == buffer_.size() && !blank) return scanned_ = end, false;
    const std::size_t next = end + (cr && end + 1 < buffer_.size() && buffer_[end + 1] == '\n' ? 2 : 1);
    if (!blank) ReadLine(std::string_view(buffer_).substr(line_begin_, end - line_begin_));
    line_begin_ = scanned_ = next;
    if (!blank) continue;
    *event = {std::string_view(buffer_).substr(*begin, next - *begin), id_, has_field_};
    saw_event_ = saw_event_ || has_field_;
    *begin = next, id_.reset(), has_field_ = false;
    return true;
  }
}

}  // namespace lichenlug::dataplane
