#include "dataplane/usage_counter.h"

namespace lichenlug::dataplane {

void UsageCounter::Count(Time wall_now, Time window, const std::string& tenant) {
  if (tenant.empty() || window <= 0) return;
  ++counts_[wall_now / window][tenant];
  while (counts_.size() > kMaxWindows) counts_.erase(counts_.begin());
}

}  // namespace lichenlug::dataplane
