// Estimates the round-trip time of one kind of request and the timeout after which a reply counts as lost:
// the retransmission timer of RFC 6298, section 2. No clock, no I/O.
#pragma once

#include <algorithm>
#include <cstdlib>

#include "base/clock.h"

namespace lichenlug {

class DelayEstimate {
 public:
  // The bounds of the timeout, in microseconds.
  DelayEstimate(Time min, Time max) : min_timeout_(min), max_timeout_(max) {}

  // Adds the delay of one reply. Don't call it if it is unclear which of several transmissions the reply
  // answers (RFC 6298, section 3), or if no reply came.
  void Note(Time delay) {
    if (smoothed_ == 0) {
      smoothed_ = std::max<Time>(delay, 1);
      deviation_ = delay / 2;
      return;
    }
    deviation_ += (std::abs(smoothed_ - delay) - deviation_) / 4;
    smoothed_ += (delay - smoothed_) / 8;
  }

  Time Wait() const { return std::clamp(smoothed_ + 4 * deviation_, min_timeout_, max_timeout_); }

 private:
  Time min_timeout_, max_timeout_;
  Time smoothed_ = 0, deviation_ = 0;  // 0: no sample yet
};

}  // namespace lichenlug
