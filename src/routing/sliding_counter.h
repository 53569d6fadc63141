// Counts events in a sliding window, using a fixed number of buckets.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace lichenlug::routing {

class SlidingCounter {
 public:
  explicit SlidingCounter(Time window) : width_(std::max<Time>(1, window / Time{kBuckets})) {}

  void Add(Time now) {
    Bucket& bucket = buckets_[IndexOf(now)];
    if (bucket.number != now / width_) bucket = {now / width_, 0};
    ++bucket.count;
  }

  // Upper bound: counts the oldest, partially covered bucket in full.
  std::int64_t UpperBound(Time now) const { return Sum(now, kBuckets + 1); }
  // Lower bound: leaves out the oldest, partially covered bucket.
  std::int64_t LowerBound(Time now) const { return Sum(now, kBuckets); }

 private:
  static constexpr std::size_t kBuckets = 100;

  struct Bucket {
    Time number = -1;  // now / width_, counted from the clock's zero
    std::int64_t count = 0;
  };

  std::size_t IndexOf(Time now) const { return static_cast<std::size_t>(now / width_) % buckets_.size(); }

  std::int64_t Sum(Time now, std::size_t newest) const {
    const Time last = now / width_;
    std::int64_t sum = 0;
    for (const Bucket& bucket : buckets_)
      if (bucket.number > last - static_cast<Time>(newest) && bucket.number <= last) sum += bucket.count;
    return sum;
  }

  Time width_;
  std::array<Bucket, kBuckets + 1> buckets_;
};

}  // namespace lichenlug::routing
