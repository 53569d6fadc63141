// How long answers of one kind take of late, and how long to wait for one before it counts as missing: the
// retransmission timer of RFC 6298, section 2. Pure.
#pragma once

#include <algorithm>
#include <cstdlib>

#include "base/clock.h"

namespace lichenlug {

class DelayEstimate {
 public:
  // The bounds of the wait, in microseconds.
  DelayEstimate(Time min, Time max) : min_(min), max_(max) {}

  // `delay`: of one answer. None is noted where it is unclear which of several questions was answered (RFC
  // 6298, section 3), nor where no answer came.
  void Note(Time delay) {
    if (smoothed_ == 0) {
      smoothed_ = std::max<Time>(delay, 1);
      deviation_ = delay / 2;
      return;
    }
    deviation_ += (std::abs(smoothed_ - delay) - deviation_) / 4;
    smoothed_ += (delay - smoothed_) / 8;
  }

  Time Wait() const { return std::clamp(smoothed_ + 4 * deviation_, min_, max_); }

 private:
  Time min_, max_;
  Time smoothed_ = 0, deviation_ = 0;  // 0: none noted yet
};

}  // namespace lichenlug
