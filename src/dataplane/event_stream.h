// Framing of an event stream (text/event-stream): finds complete events in bytes that arrive in pieces,
// without changing any byte. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlug::dataplane {

class EventStream {
 public:
  struct Event {
    std::string_view text;            // including the blank line that ends it
    std::optional<std::uint64_t> id;  // none if absent or not an unsigned integer
    bool has_field = false;           // false: only comments or blank lines
  };

  explicit EventStream(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  // Invokes `call` with each event that `bytes` completes. False: an event exceeds the size limit.
  template <typename Call>
  bool Feed(std::string_view bytes, Call call) {
    buffer_.append(bytes);
    Event event;
    std::size_t consumed = 0;
    while (Next(&consumed, &event)) call(event);
    buffer_.erase(0, consumed);
    line_begin_ -= consumed, scanned_ -= consumed;
    return buffer_.size() <= max_event_bytes_;
  }

  std::string_view rest() const { return buffer_; }  // the incomplete event
  // Whether there was an event and nothing but comments follows the last one.
  bool EndsWithEvent() const { return saw_event_ && !has_field_ && line_begin_ == buffer_.size(); }

 private:
  bool Next(std::size_t* begin, Event* event);
  void ReadLine(std::string_view line);

  std::size_t max_event_bytes_;
  std::string buffer_;
  std::size_t line_begin_ = 0, scanned_ = 0;  // start of the current line; end of its scanned part
  std::optional<std::uint64_t> id_;           // of the incomplete event
  bool has_field_ = false;                    // of the incomplete event
  bool saw_event_ = false;                    // a complete one, with a field
};

}  // namespace lichenlug::dataplane
