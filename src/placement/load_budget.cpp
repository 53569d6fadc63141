#include "placement/load_budget.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::placement {
namespace {

constexpr double kUsedShare = 0.65;  // of what the store allows; the rest is for a holder that takes over
constexpr int kBurst = 3;            // the store bears as many more in a window
constexpr Time kArrivalMargin = 500 * kMillisecond;

}  // namespace

LoadBudget::LoadBudget(Time window, double overage, Time lease)
    : window_(std::max<Time>(1, window)), overage_(overage), lease_(std::max<Time>(1, lease)) {}

void LoadBudget::SetRate(double loads_per_s) { loads_per_s_ = loads_per_s; }

void LoadBudget::TakeOver(Time now) { restricted_until_ = now + window_ + kArrivalMargin; }

int LoadBudget::Limit(Time now) const {
  const double rated = loads_per_s_ * static_cast<double>(window_) / static_cast<double>(kSecond);
  const int most = static_cast<int>(rated * overage_) + kBurst;
  const int usual = std::min(most, std::max(1, static_cast<int>(rated * kUsedShare)));
  if (now >= restricted_until_) return usual;
  // What the usual limit leaves of the store's, dealt out to all holders that a window may see.
  const int changes = 1 + static_cast<int>(window_ / lease_);
  return std::min(usual, (most - usual) / changes);
}

int LoadBudget::Left(Time now) const {
  int counted = 0;
  for (const auto& [number, load] : loads_)
    if (!load.settled || load.latest_begin > now - window_ - kArrivalMargin) ++counted;
  return std::max(0, Limit(now) - counted);
}

std::uint64_t LoadBudget::Begin(Time now) {
  Expire(now);
  loads_[next_] = Load{false, now};
  return next_++;
}

void LoadBudget::Settle(std::uint64_t load, Time latest_begin) {
  const auto it = loads_.find(load);
  if (it != loads_.end() && !it->second.settled) it->second = Load{true, latest_begin};
}

void LoadBudget::Expire(Time now) {
  std::erase_if(loads_, [&](const auto& entry) {
    return entry.second.settled && entry.second.latest_begin <= now - window_ - kArrivalMargin;
  });
}

}  // namespace lichenlug::placement
