#include "placement/eviction.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lichenlug::placement {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kUnknownModel = 0.05;  // no longer configured
constexpr double kIdleCopy = 0.1;       // no demand, and another runner holds it
constexpr double kIdleLast = 1, kJustIdleLast = 3;
constexpr double kIdleFade = 20.0 * kSecond;
constexpr double kBusySpareCopy = 1.5, kBusySpareShare = 0.2;  // the others can serve its demand
constexpr double kBusyCopy = 10;
constexpr double kRareLast = 15, kRareArrival = 10;  // only copy of a rarely requested key
constexpr double kNewRareLast = 30;  // the same, loaded recently: unloaded only for overloaded keys
constexpr double kSecondCopy = 12;   // of a model whose loss would cost more than a load
constexpr double kAskedMargin = 5;   // over the rarely requested keys that are held, so that keys alternate
constexpr Time kMinStay = 15 * kSecond;        // from the assignment on; keeps such keys from thrashing
constexpr Time kMinAdapterStay = 3 * kSecond;  // shorter, as an adapter is reloaded within milliseconds
constexpr double kAdapter = 2, kAdapterArrival = 2, kAdapterRunning = 5;  // only copy
constexpr double kLastAdapter = 5;  // for each adapter whose only copy would be unloaded with the model
constexpr double kSparedFill = 0.5;
constexpr double kOverloadPart = 0.8;  // of its share of the running requests
constexpr double kReliefWorth = 2;
constexpr double kSecondCopyWorth = 4.5;  // of a busy model; exceeds the value of any idle one
constexpr double kStillUnserved = 0.5;    // requests; the count decays and never reaches zero
constexpr double kBusyArrivals = 0.3;     // per second, from which the only copy is never unloaded

double IdleTime(const PlanContext& context, const Demand& demand) {
  return demand.last_asked == 0 ? 1e12 : static_cast<double>(context.now - demand.last_asked);
}

bool IsNew(const PlanContext& context, const Key& key, Time min_stay) {
  if (!context.placed) return false;
  const auto placed = context.placed->find(key);
  return placed != context.placed->end() && context.now - placed->second < min_stay;
}

// The only copy of an adapter in demand. Such adapters may replace each other, as they load quickly.
double ValueOfLastAdapter(const PlanContext& context, const Key& key, const Demand& demand) {
  if (IsNew(context, key, kMinAdapterStay)) return kNever;
  return kAdapter + kAdapterArrival * demand.arrivals_per_s + kAdapterRunning * demand.running;
}

double ValueOf(const PlanContext& context, const Key& key) {
  if (!context.catalog->Knows(key)) return kUnknownModel;
  const Demand& demand = DemandOf(context, key);
  const std::size_t copies = context.view->HoldersOf(key).size();
  if (copies > 1) {
    if (!demand.present()) return kIdleCopy;
    const double share = demand.running / static_cast<double>(copies);
    const double left = demand.running / static_cast<double>(copies - 1);
    const bool spare = left <= kSparedFill * context.catalog->slots();
    if (spare && copies == 2 && key.is_model() && demand.arrivals_per_s > kSafeArrivals) return kSecondCopy;
    return spare ? kBusySpareCopy + kBusySpareShare * share : kBusyCopy + share;
  }
  if (!key.is_model() && demand.present()) return ValueOfLastAdapter(context, key, demand);
  if (demand.running > 0.5 || demand.arrivals_per_s >= kBusyArrivals || demand.unserved > kStillUnserved)
    return kNever;
  if (demand.present() && IsNew(context, key, kMinStay)) return kNewRareLast;
  if (demand.present()) return kRareLast + kRareArrival * demand.arrivals_per_s;
  return kIdleLast + kJustIdleLast * std::exp(-IdleTime(context, demand) / kIdleFade);
}

// The value of adapters whose only copy would be unloaded together with their model.
double ValueOfLastAdapters(const PlanContext& context, const RunnerView& runner, const Key& key) {
  if (!key.is_model()) return 0;
  double value = 0;
  for (const std::string& adapter : runner.held.models().at(key.model)) {
    const Key held{key.model, adapter};
    if (context.demand->Of(held).present() && context.view->HoldersOf(held).size() <= 1)
      value += kLastAdapter;
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
    case Urgency::kAsked:
      return kRareLast + kAskedMargin + kRareArrival * demand.arrivals_per_s;
    case Urgency::kOverload:
      return kBusyCopy + kOverloadPart * share;
    case Urgency::kRelief:
      return kReliefWorth;
    case Urgency::kPrefetch:
      return 0;
    case Urgency::kSpare:
      return key.is_model() && copies == 1 && demand.arrivals_per_s > kSafeArrivals ? kSecondCopyWorth : 0;
  }
  return 0;
}

std::optional<Victims> FindVictims(const PlanContext& context, const RunnerView& runner, const Key& target,
                                   double most) {
  HeldSet left = runner.may_hold;
  Victims victims;
  if (context.catalog->Fits(left, target)) return victims;
  std::vector<std::pair<double, Key>> candidates;
  for (const Key& key : Candidates(runner, target)) {
    const double value = ValueOf(context, key) + ValueOfLastAdapters(context, runner, key);
    if (value <= most) candidates.emplace_back(value, key);
  }
  std::sort(candidates.begin(), candidates.end());
  std::size_t taken = 0;
  while (taken < candidates.size() && !context.catalog->Fits(left, target))
    left.Remove(candidates[taken++].second);
  if (!context.catalog->Fits(left, target)) return std::nullopt;
  // A key chosen early may turn out unnecessary once a larger one is chosen. Keeps such keys, the most
  // valuable first.
  for (std::size_t i = taken; i-- > 0;) {
    HeldSet kept = left;
    const Key& key = candidates[i].second;
    kept.Add(key);
    const auto held = runner.may_hold.models().find(key.model);
    if (key.is_model())
      for (const std::string& adapter : held->second) kept.Add({key.model, adapter});
    if (context.catalog->Fits(kept, target)) {
      left = kept;
      continue;
    }
    victims.keys.push_back(key);
    victims.cost += candidates[i].first;
  }
  std::reverse(victims.keys.begin(), victims.keys.end());
  return victims;
}

}  // namespace lichenlug::placement
