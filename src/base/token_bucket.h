// A token bucket: so many a second, saved up to a burst.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace lichenlug {

struct TokenBucket {
  Time at = 0;
  double left = 0;

  // Takes one token. False: there is none.
  bool Take(Time now, double per_s, double burst) {
    left = std::min(burst, left + per_s * (now - at) / kSecond);
    at = now;
    if (left < 1) return false;
    left -= 1;
    return true;
  }
};

}  // namespace lichenlug
