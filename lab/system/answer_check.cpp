#include "lab/system/answer_check.h"

namespace lichenlug::standins {

void AnswerCheck::Feed(std::string_view bytes) {
  const std::string separator = stream_ ? "\n\n" : "\n";
  buffer_.append(bytes);
  for (std::size_t position = buffer_.find(separator); position != std::string::npos;
       position = buffer_.find(separator)) {
    CheckItem(buffer_.substr(0, position));
    buffer_.erase(0, position + separator.size());
  }
}

void AnswerCheck::CheckItem(const std::string& text) {
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
