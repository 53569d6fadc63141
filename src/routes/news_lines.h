// Reassembles the stream of a watch: JSON objects, on one line or indented over several, and blank lines as
// heartbeats, from chunks that end anywhere. No clock, no I/O.
//
// An object has a maximum length, so a stream without end can't grow the buffer without bound. A blank line
// inside an object is an error: it shows that the sender stopped in the middle of the object and went on with
// heartbeats.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace lichenlug {

class JsonStreamSplitter {
 public:
  static constexpr std::size_t kMax = 1024 * 1024;  // bytes of an object

  // Calls `take` with each complete object, and with an empty view for each heartbeat, for as long as it
  // returns true. Returns false if the stream is malformed or `take` returned false.
  template <typename Take>
  bool Add(std::string_view bytes, Take take) {
    for (const char c : bytes) {
      if (c != '\n') {
        Read(c);
        if (held_.size() >= kMax) return false;
        held_ += c;
        continue;
      }
      const bool said = std::exchange(said_on_line_, false);
      if (depth_ > 0 && !in_text_ && said) {
        held_ += c;  // the object continues on the next line
      } else if (depth_ > 0 || in_text_) {
        return false;
      } else {
        const std::string object = std::exchange(held_, {});
        depth_ = 0;
        if (!take(said ? std::string_view(object) : std::string_view())) return false;
      }
    }
    return true;
  }

 private:
  void Read(char c) {
    said_on_line_ = said_on_line_ || (c != ' ' && c != '\t' && c != '\r');
    if (std::exchange(escaped_, false)) return;
    if (c == '"') in_text_ = !in_text_;
    if (in_text_) {
      escaped_ = c == '\\';
      return;
    }
    if (c == '{' || c == '[') ++depth_;
    if (c == '}' || c == ']') --depth_;
  }

  std::string held_;
  int depth_ = 0;
  bool in_text_ = false, escaped_ = false, said_on_line_ = false;
};

}  // namespace lichenlug
