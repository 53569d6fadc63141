// Estimators with exponential forgetting: a running mean and a rate.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace lichenlug {

// A mean that starts as a plain average and becomes an exponential one: about the last `max_samples` samples
// count.
struct RunningMean {
  double value = 0, weight = 0;

  void Add(double sample, double max_samples = 200) {
    weight = std::min(weight + 1, max_samples);
    value += (sample - value) / weight;
  }
};

// Events per microsecond: an exponential average over about `memory` microseconds.
struct RateMeter {
  double memory;
  double count = 0;
  Time at = 0;

  explicit RateMeter(double memory_us) : memory(memory_us) {}

  void Add(Time now, double events = 1) {
    count = Rate(now) * memory + events;
    at = now;
  }
  double Rate(Time now) const { return count / memory * std::exp(1.0 * (at - now) / memory); }
};

}  // namespace lichenlug
