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

  explicit EventStream(std::size_t max_event) : max_event_(max_event) {}

  // Invokes `call` with each event that `bytes` completes. False: an event exceeds the size limit.
  template <typename Call>
  bool Feed(std::string_view bytes, Call call) {
    held_.append(bytes);
    Event event;
    std::size_t used = 0;
    while (Next(&used, &event)) call(event);
    held_.erase(0, used);
    line_ -= used, scanned_ -= used;
    return held_.size() <= max_event_;
  }

  std::string_view rest() const { return held_; }  // the incomplete event

 private:
  bool Next(std::size_t* begin, Event* event);
  void ReadLine(std::string_view line);

  std::size_t max_event_;
  std::string held_;
  std::size_t line_ = 0, scanned_ = 0;  // start of the current line; end of its scanned part
  std::optional<std::uint64_t> id_;     // of the incomplete event
  bool has_field_ = false;
};

}  // namespace lichenlug::dataplane
