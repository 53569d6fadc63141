// Answers to runners that say they drain or end. An acknowledgement binds every dispatcher, so it is given
// once a majority of the core is known to hold the end, with which all others compare themselves; where that
// does not come in time, the runner is told to call another dispatcher. No I/O, no clock.
#pragma once

#include <functional>
#include <list>
#include <optional>
#include <string>

#include "base/clock.h"
#include "node/control_call.h"

namespace lichenlug::node {

inline constexpr Time kEndAcknowledgedWithin = 700 * kMillisecond;  // runners move on after a second
inline constexpr std::size_t kMaxWaitingEnds = 4096;

class EndAcknowledgements {
 public:
  using IsKnown = std::function<bool(const std::string& runner_id)>;

  // `respond` is given `response`, or 503.
  void Add(Time now, const std::string& runner_id, ControlResponse response, Respond respond);
  // Answers those that may be answered now. Returns how many were refused as their time was over.
  int Check(Time now, const IsKnown& is_known);
  std::optional<Time> NextTimer() const;

 private:
  struct Waiting {
    std::string runner_id;
    Time until = 0;
    ControlResponse response;
    Respond respond;
  };
  std::list<Waiting> waiting_;  // in order of time
};

}  // namespace lichenlug::node
