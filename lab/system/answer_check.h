// Checks the body of one answer as it comes: the lines or events of one try, in order, none missing and none
// twice.
#pragma once

#include <string>
#include <string_view>

namespace lichenlug::standins {

class AnswerCheck {
 public:
  // The answer is to begin with the item after `last_item`.
  AnswerCheck(bool stream, std::string attempt_id, int last_item)
      : stream_(stream), attempt_id_(std::move(attempt_id)), last_item_(last_item) {}

  void Feed(std::string_view bytes);
  int last_item() const { return last_item_; }             // that came whole
  const std::string& problem() const { return problem_; }  // empty: none

 private:
  void Item(const std::string& text);

  bool stream_;
  std::string attempt_id_;
  int last_item_;
  std::string held_, problem_;
};

}  // namespace lichenlug::standins
