// Checks the body of one response as it arrives: the lines or events of one attempt must come in order, none
// missing and none repeated.
#pragma once

#include <string>
#include <string_view>

namespace lichenlug::standins {

class AnswerCheck {
 public:
  // The body must start with the item after `last_item`.
  AnswerCheck(bool stream, std::string attempt_id, int last_item)
      : stream_(stream), attempt_id_(std::move(attempt_id)), last_item_(last_item) {}

  void Feed(std::string_view bytes);
  int last_item() const { return last_item_; }  // the last one received completely
  // Whether the body holds `items` items and nothing behind them.
  bool IsComplete(int items) const { return last_item_ == items && buffer_.empty(); }
  const std::string& problem() const { return problem_; }  // of the first mismatch; empty if none

 private:
  void CheckItem(const std::string& text);

  bool stream_;
  std::string attempt_id_;
  int last_item_;
  std::string buffer_, problem_;
};

}  // namespace lichenlug::standins
