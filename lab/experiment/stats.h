// Means with intervals by the bootstrap.
//
// The interval is the studentised one (bootstrap-t; Efron and Tibshirani, "An Introduction to the Bootstrap",
// 1993, chapter 12): with ten or twenty pairs the plain percentile interval is too narrow and finds
// differences where there are none.
#pragma once

#include <cstdint>
#include <span>

namespace lichenlug::lab {

struct Interval {
  double mean = 0, low = 0, high = 0;
  bool HoldsZero() const { return low <= 0 && high >= 0; }
};

// The 95% interval of the mean. With fewer than three values, or no spread, there is nothing to judge by:
// with none the interval is the mean itself, with too few it is unbounded.
Interval BootstrapMean(std::span<const double> values, std::uint64_t seed = 1, int resamples = 4000);

}  // namespace lichenlug::lab
