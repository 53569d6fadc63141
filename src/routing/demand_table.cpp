#include "routing/demand_table.h"

#include <algorithm>

namespace lichenlug::routing {
namespace {

constexpr Time kRateTimeConstant = 3 * kSecond;  // time constant of the average rates
constexpr Time kRecentWindow = 10 * kSecond;     // keys idle for longer are not reported
constexpr std::size_t kEvictionDivisor = 8;      // a full table evicts 1/kEvictionDivisor of its entries

}  // namespace

DemandTable::Entry::Entry() : arrivals(kRateTimeConstant), unserved(kRateTimeConstant) {}

void DemandTable::CountArrival(Time now, const DemandKey& key) { Touch(now, key).arrivals.Add(now); }

void DemandTable::CountUnserved(Time now, const DemandKey& key) {
  Entry& entry = Touch(now, key);
  entry.unserved.Add(now);
  if (entry.reported_unserved != 0 && now - entry.reported_unserved < kRateTimeConstant) return;
  entry.reported_unserved = now;
  newly_unserved_ = true;
}

void DemandTable::ChangeRunning(const DemandKey& key, int change) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) found->second.running = std::max(0, found->second.running + change);
}

std::vector<Decisions::Demand> DemandTable::Recent(Time now) const {
  std::vector<Decisions::Demand> recent;
  for (const auto& [key, entry] : entries_) {
    if (now - entry.seen > kRecentWindow && entry.running == 0) continue;
    recent.push_back({.service = key.service,
                      .model = key.model,
                      .adapter = key.adapter,
                      .arrivals_per_s = entry.arrivals.Rate(now) * kSecond,
                      .running = static_cast<double>(entry.running),
                      .unserved = entry.unserved.Rate(now) * kRateTimeConstant});
  }
  return recent;
}

DemandTable::Entry& DemandTable::Touch(Time now, const DemandKey& key) {
  if (entries_.size() >= max_keys_ && !entries_.contains(key)) EvictOldest();
  Entry& entry = entries_[key];
  entry.seen = now;
  return entry;
}

void DemandTable::EvictOldest() {
  std::vector<Time> seen;
  seen.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) seen.push_back(entry.seen);
  const auto nth = seen.begin() + static_cast<std::ptrdiff_t>(seen.size() / kEvictionDivisor);
  std::ranges::nth_element(seen, nth);
  const Time oldest_kept = *nth;
  std::erase_if(entries_, [&](const auto& item) { return item.second.seen <= oldest_kept; });
}

}  // namespace lichenlug::routing
