#include "lab/system/answer_check.h"

namespace lichenlug::standins {

void AnswerCheck::Feed(std::string_view bytes) {
  const std::string end = stream_ ? "\n\n" : "\n";
  held_.append(bytes);
  for (std::size_t at = held_.find(end); at != std::string::npos; at = held_.find(end)) {
    Item(held_.substr(0, at));
    held_.erase(0, at + end.size());
  }
}

void AnswerCheck::Item(const std::string& text) {
  const std::string number = std::to_string(last_item_ + 1);
  const std::string data = number + " of " + attempt_id_;
  const std::string expected = stream_ ? "id: " + number + "\ndata: " + data : data;
  if (text == expected) {
    ++last_item_;
  } else if (problem_.empty()) {
    problem_ = "\"" + text + "\" received, expected \"" + expected + "\"";
  }
}

}  // namespace lichenlug::standins
