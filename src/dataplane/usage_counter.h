// Counts the requests that began to run, by time window and tenant. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace lichenlug::dataplane {

class UsageCounter {
 public:
  using Counts = std::map<std::int64_t, std::map<std::string, std::uint64_t>>;
  static constexpr std::size_t kMaxWindows = 16;  // older ones are dropped

  // `wall_now` is Unix time. Requests without a tenant are not counted.
  void Count(Time wall_now, Time window, const std::string& tenant);
  const Counts& counts() const { return counts_; }

 private:
  Counts counts_;
};

}  // namespace lichenlug::dataplane
