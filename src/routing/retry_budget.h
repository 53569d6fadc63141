// The retry budget of one service: how many repeats this dispatcher may send it, so that the repeats of all
// dispatchers together stay within ratio x requests + slack in every sliding window without any of them
// asking another. Each spends a part of the ratio on its own requests, and its even part of the slack.
#pragma once

#include <deque>
#include <utility>

#include "base/clock.h"
#include "routing/sliding_counter.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

// How many dispatchers there are, and the most there were in the last window. Shared by all budgets.
class DispatcherCount {
 public:
  explicit DispatcherCount(Time started) : started_(started) {}

  void Set(Time now, Time window, int live);
  int live() const { return counts_.empty() ? 0 : counts_.back().second; }

  // This dispatcher's even part of the slack. None for the first window of a life: its last life's repeats
  // may still be in it. Where others are lost, what they have spent still counts, so that the part grows
  // twofold at most within a window.
  double ShareOf(Time now, double slack, Time window) const;

 private:
  Time started_;
  std::deque<std::pair<Time, int>>
      counts_;  // each until the next one's time; the first may have begun earlier
};

class RetryBudget {
 public:
  explicit RetryBudget(Time window) : window_(window), requests_(window), repeats_(window) {}

  void CountRequest(Time now) { requests_.Add(now); }
  void CountRepeat(Time now) { repeats_.Add(now); }
  bool Allows(Time now, const Bounds& bounds, const DispatcherCount& dispatchers) const;

 private:
  Time window_;
  SlidingCounter requests_, repeats_;
};

}  // namespace lichenlug::routing
