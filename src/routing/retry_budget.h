// The retry budget of one service: how many retries this dispatcher may send, so that the retries of all
// dispatchers together stay within ratio x requests + slack in every sliding window without coordination
// between them. Each dispatcher may spend a fraction of the ratio on its own requests plus an equal share of
// the slack.
#pragma once

#include <deque>

#include "base/clock.h"
#include "routing/sliding_counter.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

// The number of live dispatchers, now and at its recent maximum (over some minutes). Shared by all budgets.
class DispatcherCount {
 public:
  explicit DispatcherCount(Time started) : started_(started) {}

  void Set(Time now, Time window, int live);
  int live() const { return counts_.empty() ? 0 : counts_.back().count; }

  // This dispatcher's equal share of the slack. It is 0 during the first window after a start, which may
  // still contain retries sent before a restart. The share does not grow at once when other dispatchers are
  // lost, because they may still be running behind a network partition.
  double SlackShare(Time now, double slack, Time window) const;

 private:
  struct Count {
    Time last_seen = 0;
    int count = 0;
  };

  Time started_;
  std::deque<Count> counts_;  // strictly decreasing; the last is the current one
};

class RetryBudget {
 public:
  explicit RetryBudget(Time window) : window_(window), requests_(window), retries_(window) {}

  void CountRequest(Time now) { requests_.Add(now); }
  void CountRetry(Time now) { retries_.Add(now); }
  // Whether one more retry fits into this fraction of the budget; the rest is reserved for requests that need
  // it more.
  bool Allows(Time now, const Bounds& bounds, const DispatcherCount& dispatchers, double fraction = 1) const;

 private:
  Time window_;
  SlidingCounter requests_, retries_;
};

}  // namespace lichenlug::routing
