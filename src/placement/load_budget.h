// How many loads may still be taken from the weight store: in every sliding window, over all runners and over
// changes of the duty's holder.
//
// A load begins at some moment between its order and the order's answer. It is counted from its order until a
// window after the last moment at which it can begin; then no window holds more loads than are counted at the
// order of its last one.
#pragma once

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace lichenlug::placement {

class LoadBudget {
 public:
  LoadBudget(Time window, double overage, Time lease);

  void SetRate(double loads_per_s);
  // Another holder may have used up its share of the window before; its orders can't be seen.
  void TakeOver(Time now);

  int Left(Time now) const;
  std::uint64_t Begin(Time now);                       // an order is sent; returns the number of the load
  void Settle(std::uint64_t load, Time latest_begin);  // it has begun by then, or never will
  std::size_t size() const { return loads_.size(); }
  void Expire(Time now);

 private:
  struct Load {
    bool settled = false;
    Time latest_begin = 0;
  };
  int Limit(Time now) const;

  Time window_;
  double overage_;
  Time lease_;
  double loads_per_s_ = 0;
  Time restricted_until_ = 0;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, Load> loads_;
};

}  // namespace lichenlug::placement
