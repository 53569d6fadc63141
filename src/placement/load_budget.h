// How many loads may still be taken from the weight store: in every sliding window, over all runners and over
// changes of the duty's holder.
//
// A load begins at some moment between its order and the order's answer. It is counted from its order until a
// window after the last moment at which it can begin; then no window holds more loads than are counted at the
// order of its last one.
//
// The holder tells its loads with each renewal of its lease, and how many it may begin until the next one
// (the allowance). Whoever takes over counts both as its own.
#pragma once

#include <cstdint>
#include <limits>
#include <map>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::placement {

class LoadBudget {
 public:
  LoadBudget(Time window, double overage, Time lease);

  void SetRate(double loads_per_s);
  // Another holder, which told nothing, may have used up the window.
  void TakeOver(Time now);
  // Another holder's loads, as told for the moment `told_at`.
  void Inherit(Time told_at, const messages::LoadHistory& history);
  // From `since` on, so many loads may begin here until the next call; without a limit until the first one.
  void SetAllowance(Time since, int loads);
  void LiftAllowance() { allowance_ = kNoAllowance; }
  bool HasAllowance() const { return allowance_ != kNoAllowance; }

  // What is to be told with a renewal that begins now: begun loads by age, those that may begin yet, the
  // allowance.
  messages::LoadHistory History(Time now) const;

  int Left(Time now) const;
  std::uint64_t Begin(Time now);                       // an order is sent; returns the number of the load
  void Settle(std::uint64_t load, Time latest_begin);  // it has begun by then, or never will
  std::size_t size() const { return loads_.size(); }
  void Expire(Time now);

 private:
  struct Load {
    bool settled = false;
    Time latest_begin = 0;
    Time ordered_at = 0;
    bool own = true;  // ordered by this holder
  };
  int Limit() const;
  bool Counts(Time now, const Load& load) const;

  Time window_;
  double overage_;
  Time lease_;
  double loads_per_s_ = 0;
  static constexpr int kNoAllowance = std::numeric_limits<int>::max();
  int allowance_ = kNoAllowance;
  int begun_of_allowance_ = 0;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, Load> loads_;
};

}  // namespace lichenlug::placement
