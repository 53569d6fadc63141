// Counts the requests that began to run, by window of true time and tenant. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace lichenlug::dataplane {

class UsageCounter {
 public:
  using Counts = std::map<std::int64_t, std::map<std::string, std::uint64_t>>;
  static constexpr std::size_t kMaxWindows = 16;  // older ones are forgotten

  // `wall_now` is true Unix time. A tenant with no name is not counted.
  void Count(Time wall_now, Time window, const std::string& tenant);
  const Counts& counts() const { return counts_; }

 private:
  Counts counts_;
};

}  // namespace lichenlug::dataplane
