#include "routing/retry_budget.h"

#include <algorithm>

namespace lichenlug::routing {
namespace {

// What is left over covers requests that count in another window here than where the rule is judged, and
// views of the dispatchers that differ for a moment.
constexpr double kRatioPart = 0.85;
constexpr double kSlackPart = 0.8;
constexpr double kMostGrowth = 2;

}  // namespace

void DispatcherCount::Set(Time now, Time window, int live) {
  live = std::max(1, live);
  if (counts_.empty() || counts_.back().second != live) counts_.emplace_back(now, live);
  while (counts_.size() > 1 && counts_[1].first <= now - window) counts_.pop_front();
}

double DispatcherCount::ShareOf(Time now, double slack, Time window) const {
  if (counts_.empty() || now - started_ < window) return 0;
  int most = counts_.back().second;
  for (std::size_t i = 0; i + 1 < counts_.size(); ++i)
    if (counts_[i + 1].first > now - window) most = std::max(most, counts_[i].second);
  return slack / std::max<double>(counts_.back().second, most / kMostGrowth);
}

bool RetryBudget::Allows(Time now, const Bounds& bounds, const DispatcherCount& dispatchers) const {
  if (!bounds.retry_budget) return true;
  const double earned = kRatioPart * bounds.retry_ratio * static_cast<double>(requests_.AtMost(now));
  const double slack = kSlackPart * dispatchers.ShareOf(now, bounds.retry_slack, window_);
  return static_cast<double>(repeats_.AtLeast(now) + 1) <= earned + slack;
}

}  // namespace lichenlug::routing
