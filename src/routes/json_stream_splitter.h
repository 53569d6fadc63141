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
  static constexpr std::size_t kMaxObjectSize = 1024 * 1024;  // bytes of an object

  // Calls `callback` with each complete object, and with an empty view for each heartbeat, for as long as it
  // returns true. Returns false if the stream is malformed or `callback` returned false.
  template <typename Callback>
  bool Add(std::string_view bytes, Callback callback) {
    for (const char c : bytes) {
      if (c != '\n') {
        Scan(c);
        if (buffer_.size() >= kMaxObjectSize) return false;
        buffer_ += c;
        continue;
      }
      const bool has_content = std::exchange(line_has_content_, false);
      if (depth_ > 0 && !in_string_ && has_content) {
        buffer_ += c;  // the object continues on the next line
      } else if (depth_ > 0 || in_string_) {
        return false;
      } else {
        const std::string object = std::exchange(buffer_, {});
        depth_ = 0;
        if (!callback(has_content ? std::string_view(object) : std::string_view())) return false;
      }
    }
    return true;
  }

 private:
  void Scan(char c) {
    line_has_content_ = line_has_content_ || (c != ' ' && c != '\t' && c != '\r');
    if (std::exchange(escaped_, false)) return;
    if (c == '"') in_string_ = !in_string_;
    if (in_string_) {
      escaped_ = c == '\\';
      return;
    }
    if (c == '{' || c == '[') ++depth_;
    if (c == '}' || c == ']') --depth_;
  }

  std::string buffer_;
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false, line_has_content_ = false;
};

}  // namespace lichenlug
