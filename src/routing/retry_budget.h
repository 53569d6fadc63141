// The retry budget of one service: how many repeats this dispatcher may send it, so that the repeats of all
// dispatchers together stay within ratio x requests + slack in every sliding window without any of them
// asking another. Each spends a part of the ratio on its own requests, and its even part of the slack.
#pragma once

#include <deque>

#include "base/clock.h"
#include "routing/sliding_counter.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

// How many dispatchers there are, and the most there were in the last minutes. Shared by all budgets.
class DispatcherCount {
 public:
  explicit DispatcherCount(Time started) : started_(started) {}

  void Set(Time now, Time window, int live);
  int live() const { return counts_.empty() ? 0 : counts_.back().count; }

  // This dispatcher's even part of the slack. None for the first window of a life: its last life's repeats
  // may still be in it. The part does not grow when others are lost: they may be at work behind a cut.
  double ShareOf(Time now, double slack, Time window) const;

 private:
  struct Count {
    Time last_seen = 0;
    int count = 0;
  };

  Time started_;
  std::deque<Count> counts_;  // smaller and smaller; the last is the one of now
};

class RetryBudget {
 public:
  explicit RetryBudget(Time window) : window_(window), requests_(window), repeats_(window) {}

  void CountRequest(Time now) { requests_.Add(now); }
  void CountRepeat(Time now) { repeats_.Add(now); }
  // Whether one more repeat fits into this part of the budget; the rest is kept for what needs it more.
  bool Allows(Time now, const Bounds& bounds, const DispatcherCount& dispatchers, double part = 1) const;

 private:
  Time window_;
  SlidingCounter requests_, repeats_;
};

}  // namespace lichenlug::routing
