// A token bucket with a refill rate and a burst size.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace lichenlug {

struct TokenBucket {
  Time at = 0;
  double left = 0;

  // Takes one token; returns false if there is none.
  bool Take(Time now, double per_s, double burst) {
    left = std::min(burst, left + per_s * (now - at) / kSecond);
    at = now;
    if (left < 1) return false;
    left -= 1;
    return true;
  }
};

}  // namespace lichenlug
