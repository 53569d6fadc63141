#include "placement/eviction.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lichenlug::placement {
namespace {

constexpr double kNeverUnloaded = std::numeric_limits<double>::infinity();
constexpr double kUnknownModelValue = 0.05;  // no longer configured
constexpr double kIdleCopyValue = 0.1;       // no demand, and another runner holds it
constexpr double kIdleLastCopyValue = 1, kRecentlyIdleBonus = 3;
constexpr double kIdleDecayTime = 20.0 * kSecond;
constexpr double kRedundantCopyValue = 1.5, kRedundantShareFactor = 0.2;  // the others can serve its demand
constexpr double kBusyCopyValue = 10;
constexpr double kRareLastCopyValue = 15, kRareArrivalFactor = 10;  // only copy of a rarely requested key
constexpr double kNewRareLastCopyValue = 30;  // the same, loaded recently: unloaded only for overloaded keys
constexpr double kSecondCopyValue = 12;       // of a model whose loss would cost more than a load
constexpr double kMissingMargin = 5;  // over the rarely requested keys that are held, so that keys alternate
constexpr Time kMinStay = 15 * kSecond;        // from the assignment on; keeps such keys from thrashing
constexpr Time kMinAdapterStay = 3 * kSecond;  // shorter, as an adapter is reloaded within milliseconds
constexpr double kAdapterValue = 2, kAdapterArrivalFactor = 2, kAdapterRunningFactor = 5;  // only copy
constexpr double kLostAdapterValue = 5;  // for each adapter whose only copy would be unloaded with the model
constexpr double kRedundantCopyMaxFill = 0.5;
constexpr double kOverloadShareFactor = 0.8;  // of its share of the running requests
constexpr double kReliefWorth = 2;
constexpr double kSecondCopyWorth = 4.5;    // of a busy model; exceeds the value of any idle one
constexpr double kUnservedThreshold = 0.5;  // requests; the count decays and never reaches zero
constexpr double kKeepArrivalsPerS = 0.3;   // per second, from which the only copy is never unloaded

double IdleTime(const PlanContext& context, const Demand& demand) {
  return demand.last_requested == 0 ? 1e12 : static_cast<double>(context.now - demand.last_requested);
}

bool RecentlyPlaced(const PlanContext& context, const Key& key, Time min_stay) {
  if (!context.placed) return false;
  const auto placed = context.placed->find(key);
  return placed != context.placed->end() && context.now - placed->second < min_stay;
}

// The only copy of an adapter in demand. Such adapters may replace each other, as they load quickly.
double ValueOfLastAdapter(const PlanContext& context, const Key& key, const Demand& demand) {
  if (RecentlyPlaced(context, key, kMinAdapterStay)) return kNeverUnloaded;
  return kAdapterValue + kAdapterArrivalFactor * demand.arrivals_per_s +
         kAdapterRunningFactor * demand.running;
}

double ValueOf(const PlanContext& context, const Key& key) {
  if (!context.catalog->Contains(key)) return kUnknownModelValue;
  const Demand& demand = DemandOf(context, key);
  const std::size_t copies = context.view->HoldersOf(key).size();
  if (copies > 1) {
    if (!demand.present()) return kIdleCopyValue;
    const double share = demand.running / static_cast<double>(copies);
    const double remaining_share = demand.running / static_cast<double>(copies - 1);
    const bool spare = remaining_share <= kRedundantCopyMaxFill * context.catalog->slots();
    if (spare && copies == 2 && key.is_model() && demand.arrivals_per_s > kSecondCopyArrivalsPerS)
      return kSecondCopyValue;
    return spare ? kRedundantCopyValue + kRedundantShareFactor * share : kBusyCopyValue + share;
  }
  if (!key.is_model() && demand.present()) return ValueOfLastAdapter(context, key, demand);
  if (demand.running > 0.5 || demand.arrivals_per_s >= kKeepArrivalsPerS ||
      demand.unserved > kUnservedThreshold)
    return kNeverUnloaded;
  if (demand.present() && RecentlyPlaced(context, key, kMinStay)) return kNewRareLastCopyValue;
  if (demand.present()) return kRareLastCopyValue + kRareArrivalFactor * demand.arrivals_per_s;
  return kIdleLastCopyValue + kRecentlyIdleBonus * std::exp(-IdleTime(context, demand) / kIdleDecayTime);
}

// The value of adapters whose only copy would be unloaded together with their model.
double ValueOfLostAdapters(const PlanContext& context, const RunnerView& runner, const Key& key) {
  if (!key.is_model()) return 0;
  double value = 0;
  for (const std::string& adapter : runner.held.models().at(key.model)) {
    const Key held{key.model, adapter};
    if (context.demand->Of(held).present() && context.view->HoldersOf(held).size() <= 1)
      value += kLostAdapterValue;
  }
  return value;
}

std::vector<Key> Candidates(const RunnerView& runner, const Key& target) {
  std::vector<Key> keys;
  for (const auto& [model, adapters] : runner.held.models()) {
    if (target.is_model() && model != target.model) keys.push_back({model, ""});
    if (!target.is_model())
      for (const std::string& adapter : adapters)
        if (model != target.model || adapter != target.adapter) keys.push_back({model, adapter});
  }
  return keys;
}

}  // namespace

const Demand& DemandOf(const PlanContext& context, const Key& key) {
  return key.is_model() ? context.demand->OfModel(key.model) : context.demand->Of(key);
}

double WorthOfCopy(const PlanContext& context, const Key& key, Urgency urgency) {
  const Demand& demand = DemandOf(context, key);
  const auto copies = static_cast<double>(context.view->HoldersOf(key).size());
  const double share = std::min<double>(demand.running / (copies + 1), context.catalog->slots());
  switch (urgency) {
    case Urgency::kMissing:
      return kRareLastCopyValue + kMissingMargin + kRareArrivalFactor * demand.arrivals_per_s;
    case Urgency::kOverload:
      return kBusyCopyValue + kOverloadShareFactor * share;
    case Urgency::kRelief:
      return kReliefWorth;
    case Urgency::kPrefetch:
      return 0;
    case Urgency::kSpare:
      return key.is_model() && copies == 1 && demand.arrivals_per_s > kSecondCopyArrivalsPerS
                 ? kSecondCopyWorth
                 : 0;
  }
  return 0;
}

std::optional<Victims> FindVictims(const PlanContext& context, const RunnerView& runner, const Key& target,
                                   double max_value) {
  HeldSet remaining = runner.may_hold;
  Victims victims;
  if (context.catalog->Fits(remaining, target)) return victims;
  std::vector<std::pair<double, Key>> candidates;
  for (const Key& key : Candidates(runner, target)) {
    const double value = ValueOf(context, key) + ValueOfLostAdapters(context, runner, key);
    if (value <= max_value) candidates.emplace_back(value, key);
  }
  std::sort(candidates.begin(), candidates.end());
  std::size_t chosen = 0;
  while (chosen < candidates.size() && !context.catalog->Fits(remaining, target))
    remaining.Remove(candidates[chosen++].second);
  if (!context.catalog->Fits(remaining, target)) return std::nullopt;
  // A key chosen early may turn out unnecessary once a larger one is chosen. Keeps such keys, the most
  // valuable first.
  for (std::size_t i = chosen; i-- > 0;) {
    HeldSet kept = remaining;
    const Key& key = candidates[i].second;
    kept.Add(key);
    const auto held = runner.may_hold.models().find(key.model);
    if (key.is_model())
      for (const std::string& adapter : held->second) kept.Add({key.model, adapter});
    if (context.catalog->Fits(kept, target)) {
      remaining = kept;
      continue;
    }
    victims.keys.push_back(key);
    victims.cost += candidates[i].first;
  }
  std::reverse(victims.keys.begin(), victims.keys.end());
  return victims;
}

}  // namespace lichenlug::placement
