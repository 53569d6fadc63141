// Limits the rate of loads from the weight store: the number of loads in every sliding window, over all
// runners and across changes of the duty's holder.
//
// A load begins at some time between sending its order and receiving the answer. It counts from when its
// order is sent until one window after the latest time at which it can begin. Hence no window contains more
// loads than were counted when the last of them was ordered.
//
// With each renewal of its lease the holder publishes its loads and an allowance, the number of loads it may
// begin until the next renewal. The next holder counts both as its own.
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
  // Assumes that an earlier holder, which published nothing, has used up the window.
  void TakeOver(Time now);
  // Counts the loads of an earlier holder; their ages in `history` are relative to `published_at`.
  void Inherit(Time published_at, const messages::LoadHistory& history);
  // Limits the loads begun here from `since` until the next call to `loads`. There is no such limit before
  // the first call.
  void SetAllowance(Time since, int loads);
  void ClearAllowance() { allowance_ = kNoAllowance; }
  bool HasAllowance() const { return allowance_ != kNoAllowance; }

  // The history to publish with a renewal that begins now: the loads begun, by age, the number that may still
  // begin, and the allowance.
  messages::LoadHistory History(Time now) const;

  int Remaining(Time now) const;
  std::uint64_t Begin(Time now);  // counts a load whose order is sent now; returns the load's number
  void Settle(std::uint64_t load, Time latest_begin);  // it began by `latest_begin` or never will
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
  int allowance_used_ = 0;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Load> loads_;
};

}  // namespace lichenlug::placement
