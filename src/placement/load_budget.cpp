#include "placement/load_budget.h"

#include <algorithm>
#include <cmath>

#include "duties/ownership.h"

namespace lichenlug::placement {
namespace {

constexpr int kBurst = 3;      // extra loads that the store tolerates in a window
constexpr int kUsedBurst = 1;  // extra loads that are used; the rest is a safety margin
constexpr Time kArrivalMargin = 500 * kMillisecond;
constexpr Time kAgeStep = 100 * kMillisecond;  // granularity of published ages, which are rounded down
constexpr int kMinAllowance = 2;
constexpr std::uint32_t kMaxInherited = 10'000;  // per entry; more than any store serves in a window

}  // namespace

LoadBudget::LoadBudget(Time window, double overage, Time lease)
    : window_(std::max<Time>(1, window)), overage_(overage), lease_(std::max<Time>(1, lease)) {}

void LoadBudget::SetRate(double loads_per_s) { loads_per_s_ = loads_per_s; }

void LoadBudget::TakeOver(Time now) {
  for (int i = 0; i < Limit(); ++i) loads_[next_number_++] = Load{true, now, now, false};
}

// The history includes the loads of this dispatcher from earlier epochs, except those not settled yet. Hence
// settled loads are dropped before the history is added.
void LoadBudget::Inherit(Time published_at, const messages::LoadHistory& history) {
  std::erase_if(loads_, [](const auto& entry) { return entry.second.settled; });
  for (const messages::LoadsBegun& begun : history.begun()) {
    const Time latest =
        published_at - static_cast<Time>(std::min<std::uint64_t>(begun.age_us(), 3600 * kSecond));
    for (std::uint32_t i = 0; i < std::min(begun.loads(), kMaxInherited); ++i)
      loads_[next_number_++] = Load{true, latest, latest, false};
  }
}

void LoadBudget::SetAllowance(Time since, int loads) {
  allowance_ = loads;
  allowance_used_ = static_cast<int>(std::count_if(loads_.begin(), loads_.end(), [&](const auto& entry) {
    return entry.second.own && entry.second.ordered_at >= since;
  }));
}

messages::LoadHistory LoadBudget::History(Time now) const {
  std::map<Time, std::uint32_t> by_age;
  std::uint32_t unsettled = 0;
  for (const auto& [number, load] : loads_) {
    if (!Counts(now, load)) continue;
    if (!load.settled) {
      ++unsettled;
      continue;
    }
    const Time age = std::max<Time>(0, now - load.latest_begin);
    ++by_age[age / kAgeStep * kAgeStep];
  }
  messages::LoadHistory history;
  history.set_unsettled(unsettled);
  for (const auto& [age, loads] : by_age) {
    messages::LoadsBegun* begun = history.add_begun();
    begun->set_age_us(static_cast<std::uint64_t>(age));
    begun->set_loads(loads);
  }
  const double seconds = static_cast<double>(lease_) / kSecond / duties::kRenewalsInLease;
  const int expected = std::max(kMinAllowance, static_cast<int>(std::ceil(loads_per_s_ * seconds)) + 1);
  // Never less than the allowance in force, which may still be used until this renewal is known to be chosen.
  history.set_allowance(
      static_cast<std::uint32_t>(HasAllowance() ? std::max(expected, allowance_) : expected));
  return history;
}

int LoadBudget::Limit() const {
  const double rated = loads_per_s_ * static_cast<double>(window_) / static_cast<double>(kSecond);
  const int max_loads = static_cast<int>(rated * overage_) + kBurst;
  return std::min(max_loads, std::max(1, static_cast<int>(rated) + kUsedBurst));
}

bool LoadBudget::Counts(Time now, const Load& load) const {
  return !load.settled || load.latest_begin > now - window_ - kArrivalMargin;
}

int LoadBudget::Remaining(Time now) const {
  const auto counted = static_cast<int>(std::count_if(
      loads_.begin(), loads_.end(), [&](const auto& entry) { return Counts(now, entry.second); }));
  return std::max(0, std::min(Limit() - counted, allowance_ - allowance_used_));
}

std::uint64_t LoadBudget::Begin(Time now) {
  Expire(now);
  ++allowance_used_;
  loads_[next_number_] = Load{false, now, now, true};
  return next_number_++;
}

void LoadBudget::Settle(std::uint64_t load, Time latest_begin) {
  const auto it = loads_.find(load);
  if (it == loads_.end() || it->second.settled) return;
  it->second.settled = true;
  it->second.latest_begin = latest_begin;
}

void LoadBudget::Expire(Time now) {
  std::erase_if(loads_, [&](const auto& entry) { return !Counts(now, entry.second); });
}

}  // namespace lichenlug::placement
