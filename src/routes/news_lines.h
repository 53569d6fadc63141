// Puts what a watch says together again: objects of news, one a line or indented over several, from pieces
// that end anywhere. Pure.
//
// Guards against a watch that speaks without end (an object has a greatest length) and one that broke off
// inside an object and goes on: a blank line, which is a heartbeat between objects, cannot stand within one.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace lichenlug {

class JsonStreamSplitter {
 public:
  static constexpr std::size_t kMax = 1024 * 1024;  // bytes of an object

  // Calls `take` with each object that is whole, and with nothing for each heartbeat, for as long as it
  // returns true. False: what was said makes no sense, or `take` said so.
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
        held_ += c;  // an object goes on
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
