#include "routing/retry_budget.h"

#include <algorithm>

namespace lichenlug::routing {
namespace {

// The remainder is a safety margin. It covers requests that fall into a different window here than where the
// rule is checked, and dispatchers that briefly disagree about how many of them are live.
constexpr double kUsableRatioFraction = 0.85;
constexpr double kUsableSlackFraction = 0.8;
constexpr Time kRetainedWindows = 30;

}  // namespace

void DispatcherCount::Set(Time now, Time window, int live) {
  live = std::max(1, live);
  if (!counts_.empty()) counts_.back().last_seen = now;
  while (!counts_.empty() && counts_.back().count <= live) counts_.pop_back();
  counts_.push_back({now, live});
  while (counts_.size() > 1 && counts_.front().last_seen <= now - kRetainedWindows * window)
    counts_.pop_front();
}

double DispatcherCount::SlackShare(Time now, double slack, Time window) const {
  if (counts_.empty() || now - started_ < window) return 0;
  const auto remembered = std::ranges::find_if(
      counts_, [&](const Count& it) { return it.last_seen > now - kRetainedWindows * window; });
  return slack / (remembered == counts_.end() ? counts_.back() : *remembered).count;
}

bool RetryBudget::Allows(Time now, const Bounds& bounds, const DispatcherCount& dispatchers,
                         double fraction) const {
  if (!bounds.retry_budget) return true;
  const double earned =
      kUsableRatioFraction * bounds.retry_ratio * static_cast<double>(requests_.LowerBound(now));
  const double slack = kUsableSlackFraction * dispatchers.SlackShare(now, bounds.retry_slack, window_);
  return static_cast<double>(retries_.UpperBound(now) + 1) <= fraction * (earned + slack);
}

}  // namespace lichenlug::routing
