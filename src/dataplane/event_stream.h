// Framing of an event stream (text/event-stream): finds whole events in bytes that come in pieces, and
// changes none of them. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlug::dataplane {

class EventStream {
 public:
  struct Event {
    std::string_view text;            // with the blank line that ends it
    std::optional<std::uint64_t> id;  // where it has one that is a whole number
    bool has_field = false;           // false: a comment or blank lines alone
  };

  explicit EventStream(std::size_t max_event) : max_event_(max_event) {}

  // Calls with each event that `bytes` makes whole. False: an event has grown beyond the bound.
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

  std::string_view rest() const { return held_; }  // the part of an event that is not whole

 private:
  bool Next(std::size_t* begin, Event* event);
  void ReadLine(std::string_view line);

  std::size_t max_event_;
  std::string held_;
  std::size_t line_ = 0, scanned_ = 0;  // where the present line begins; how far it has been looked through
  std::optional<std::uint64_t> id_;     // of the event that is being read
  bool has_field_ = false;
};

}  // namespace lichenlug::dataplane
