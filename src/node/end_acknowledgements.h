// Responses to runners that announce a drain or their end. An acknowledgement binds every dispatcher, so it
// is sent only once a majority of the core, with which all others synchronize, is known to have the end on
// disk. If that takes too long, the response tells the runner to call another dispatcher. No I/O, no clock.
#pragma once

#include <functional>
#include <list>
#include <optional>
#include <string>

#include "base/clock.h"
#include "node/control_call.h"

namespace lichenlug::node {

inline constexpr Time kEndAcknowledgementTimeout =
    700 * kMillisecond;  // runners try another dispatcher after 1 s
inline constexpr std::size_t kMaxPendingEnds = 4096;

class EndAcknowledgements {
 public:
  using IsKnown = std::function<bool(const std::string& runner_id)>;

  // `respond` is called with `response`, or with status 503.
  void Add(Time now, const std::string& runner_id, ControlResponse response, Respond respond);
  // Sends the responses that are due. Returns how many were refused because their time limit had passed.
  int Check(Time now, const IsKnown& is_known);
  std::optional<Time> NextTimer() const;

 private:
  struct Pending {
    std::string runner_id;
    Time until = 0;
    ControlResponse response;
    Respond respond;
  };
  std::list<Pending> pending_;  // ordered by deadline
};

}  // namespace lichenlug::node
