#include "placement/planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>

namespace lichenlug::placement {
namespace {

constexpr double kFullShare = 0.6, kBusyShare = 0.3, kTargetShare = 0.5;  // shares of a runner's slots
constexpr double kSaturatedShare = 1;  // requests queue at the holders, so copies are added at once
constexpr double kMinCopyShare = 0.1;  // a key that uses less of a runner's slots isn't worth another copy
constexpr double kLowerLoad = 0.8, kMuchLowerLoad = 0.5;  // another runner's load relative to the holders'
constexpr double kAnyFill = std::numeric_limits<double>::infinity();
constexpr double kSpareCopyArrivalsPerS = 1;  // per second, from which a model may use spare capacity
constexpr double kUrgentWorth = 25;           // of a copy that comes before loads of rarely requested models
constexpr double kMissingArrivalsPerS = 0.2;  // per second; missing even with none unserved
constexpr Time kUrgentDelay = 500 * kMillisecond, kOptionalDelay = 3 * kSecond;
constexpr Time kPlacedLifetime = 60 * kSecond;
constexpr std::size_t kRunnersPerOptionalCopy = 8;
constexpr std::size_t kMaxRefused = 1000;
constexpr int kReservedLoads = 2;  // loads of the weight store's budget reserved for keys in demand
constexpr double kFillCost = 3, kColdCost = 1, kZoneCost = 0.3, kAdapterCost = 0.05, kOrderCost = 0.1;

bool IsMissing(const Demand& demand) {
  return demand.unserved > 0 || demand.arrivals_per_s > kMissingArrivalsPerS;
}

double FillOf(const PlanContext& context, const std::vector<std::size_t>& holders) {
  double sum = 0;
  for (std::size_t holder : holders) sum += context.view->runners[holder].load;
  return holders.empty() ? 0 : sum / static_cast<double>(holders.size()) / context.catalog->slots();
}

// Models before adapters, each by descending demand.
std::vector<Key> KeysInDemand(const PlanContext& context) {
  std::vector<Key> keys;
  for (const auto& [model, demand] : context.demand->models())
    if (demand.present()) keys.push_back({model, ""});
  for (const auto& [key, demand] : context.demand->keys())
    if (!key.is_model() && demand.present()) keys.push_back(key);
  const auto rank = [&](const Key& key) {
    const Demand& demand = DemandOf(context, key);
    return std::tuple(!key.is_model(), -demand.unserved, -demand.running);
  };
  std::stable_sort(keys.begin(), keys.end(), [&](const Key& a, const Key& b) { return rank(a) < rank(b); });
  return keys;
}

}  // namespace

void Planner::Refuse(const Key& key, Time until) {
  if (refused_.size() >= kMaxRefused) refused_.clear();
  refused_[key] = until;
}

bool Planner::Refused(Time now, const Key& key) const {
  const auto it = refused_.find(key);
  return it != refused_.end() && now < it->second;
}

std::vector<Assignment> Planner::Plan(PlanContext context) {
  context.placed = &placed_;
  std::erase_if(placed_, [&](const auto& entry) { return context.now - entry.second > kPlacedLifetime; });
  std::vector<Assignment> assignments;
  copy_goals_.clear();
  std::size_t pending = 0;
  for (const RunnerView& runner : context.view->runners) pending += runner.expected != runner.held ? 1 : 0;
  const std::size_t max_optional =
      std::max<std::size_t>(1, context.view->runners.size() / kRunnersPerOptionalCopy);
  int loads_left = context.loads_left;
  Pass pass{&context, &assignments, max_optional > pending ? max_optional - pending : 0, &loads_left};
  FindCrowdedModels(context);
  for (const double min_worth : {kUrgentWorth, 0.0}) {
    PlaceMissing(pass, min_worth);
    PlaceCopies(&pass, min_worth);
  }
  std::erase_if(short_since_, [&](const auto& entry) { return !copy_goals_.count(entry.first); });
  Prefetch(&pass);
  return assignments;
}

// Loads models that no runner holds, a few at a time, where capacity is spare. Some loads of the weight
// store's budget are reserved for keys in demand.
void Planner::Prefetch(Pass* pass) {
  const PlanContext& context = *pass->context;
  for (const auto& [model, entry] : context.catalog->models()) {
    const Key key{model, ""};
    if (pass->optional_left == 0 || *pass->loads_left <= kReservedLoads) return;
    if (!context.view->HoldersOf(key).empty() || Refused(context.now, key)) continue;
    if (Place(*pass, key, Urgency::kPrefetch, kAnyFill)) --pass->optional_left;
  }
}

// Records the models whose runners have too few adapter slots for the adapters in demand.
void Planner::FindCrowdedModels(const PlanContext& context) {
  crowded_models_.clear();
  const auto slots_per_runner = static_cast<std::size_t>(std::max(1, context.catalog->adapter_slots()));
  std::map<std::string, std::size_t> adapters;  // in demand, by model
  std::set<std::string> unplaced;
  for (const auto& [key, demand] : context.demand->keys()) {
    if (key.is_model() || !demand.present()) continue;
    ++adapters[key.model];
    if (context.view->HoldersOf(key).empty() && IsMissing(demand)) unplaced.insert(key.model);
  }
  for (const std::string& model : unplaced)
    crowded_models_[model] = (adapters[model] + slots_per_runner - 1) / slots_per_runner;
}

void Planner::PlaceMissing(const Pass& pass, double min_worth) {
  const PlanContext& context = *pass.context;
  for (const Key& key : KeysInDemand(context)) {
    const Demand& demand = DemandOf(context, key);
    if (!context.view->HoldersOf(key).empty() || !IsMissing(demand)) continue;
    if (WorthOfCopy(context, key, Urgency::kMissing) < min_worth) continue;
    CopyGoal& goal = copy_goals_[key] = {1, Urgency::kMissing, kAnyFill, ""};
    if (Refused(context.now, key)) {
      goal.blocked_reason = "a runner rejected the order as invalid";
      continue;
    }
    if (Place(pass, key, Urgency::kMissing, kAnyFill)) continue;
    goal.blocked_reason = "no runner is available, all hold keys in demand, or the load limit is reached";
  }
}

void Planner::PlaceCopies(Pass* pass, double min_worth) {
  const PlanContext& context = *pass->context;
  for (const Key& key : KeysInDemand(context)) {
    const std::vector<std::size_t> holders = context.view->HoldersOf(key);
    if (holders.empty() || Refused(context.now, key)) continue;
    const double fill = FillOf(context, holders);
    const CopyGoal goal = copy_goals_[key] = CopyGoalFor(context, key, DemandOf(context, key), fill);
    if (!IsDue(context.now, key, goal, holders.size())) continue;
    if (WorthOfCopy(context, key, goal.urgency) < min_worth) continue;
    const bool urgent = goal.urgency <= Urgency::kOverload;
    for (std::size_t copies = holders.size(); copies < goal.copies; ++copies) {
      if (!urgent && pass->optional_left == 0) break;
      if (!Place(*pass, key, goal.urgency, goal.max_fill)) {
        copy_goals_[key].blocked_reason =
            "no runner with less load has capacity, or the load limit is reached";
        break;
      }
      if (!urgent) --pass->optional_left;
    }
  }
}

Planner::CopyGoal Planner::CopyGoalFor(const PlanContext& context, const Key& key, const Demand& demand,
                                       double fill) const {
  const std::size_t copies = context.view->HoldersOf(key).size();
  const double slots = context.catalog->slots();
  const double share = demand.running / static_cast<double>(copies) / slots;
  if (share > kFullShare) {
    const auto wanted = static_cast<std::size_t>(std::ceil(demand.running / (kTargetShare * slots)));
    return {std::max(copies + 1, wanted), Urgency::kOverload, fill * kLowerLoad, "", share > kSaturatedShare};
  }
  const auto crowded = crowded_models_.find(key.model);
  if (key.is_model() && crowded != crowded_models_.end() && crowded->second > copies)
    return {crowded->second, Urgency::kMissing, kAnyFill, ""};
  if (fill > kFullShare && share > kMinCopyShare)
    return {copies + 1, Urgency::kRelief, fill * kMuchLowerLoad, ""};
  if (fill > kBusyShare && share > kMinCopyShare)
    return {copies + 1, Urgency::kSpare, fill * kMuchLowerLoad, ""};
  if (copies == 1 && demand.arrivals_per_s > kSecondCopyArrivalsPerS)
    return {2, Urgency::kSpare, kFullShare, ""};
  if (key.is_model() && demand.arrivals_per_s >= kSpareCopyArrivalsPerS) {
    // Fills runners that restarted empty.
    const double mean = context.demand->running() / slots / static_cast<double>(context.view->runners.size());
    return {copies + 1, Urgency::kSpare, mean * kMuchLowerLoad, ""};
  }
  return {copies, Urgency::kSpare, 0, ""};
}

// Whether copies have been missing for long enough to add some.
bool Planner::IsDue(Time now, const Key& key, const CopyGoal& goal, std::size_t copies) {
  if (goal.copies <= copies) {
    short_since_.erase(key);
    return false;
  }
  const Time since = short_since_.try_emplace(key, now).first->second;
  if (goal.saturated) return true;
  return now - since >= (goal.urgency == Urgency::kSpare ? kOptionalDelay : kUrgentDelay);
}

bool Planner::Place(const Pass& pass, const Key& key, Urgency urgency, double max_fill) {
  const PlanContext& context = *pass.context;
  if (key.is_model() && *pass.loads_left <= 0) return false;
  const double worth = WorthOfCopy(context, key, urgency);
  std::optional<std::size_t> best;
  double best_cost = 0;
  for (std::size_t i = 0; i < context.view->runners.size(); ++i) {
    const RunnerView& runner = context.view->runners[i];
    if (!runner.available || runner.expected.Holds(key)) continue;
    const Key model{key.model, ""};  // must be held and not about to be unloaded
    if (!key.is_model() && !(runner.held.Holds(model) && runner.expected.Holds(model))) continue;
    if (runner.load / context.catalog->slots() > max_fill) continue;
    const auto victims = FindVictims(context, runner, key, worth);
    if (!victims) continue;
    const double orders = kOrderCost * static_cast<double>(victims->keys.size());
    const double cost = CostOf(context, runner, key, victims->cost + orders);
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  if (!best) return false;
  if (key.is_model()) --*pass.loads_left;
  context.view->runners[*best].available = false;
  context.view->AddExpected(*best, key);
  if (urgency == Urgency::kMissing) placed_[key] = context.now;
  pass.assignments->push_back({*best, {key, urgency, context.now, worth}});
  return true;
}

double Planner::CostOf(const PlanContext& context, const RunnerView& runner, const Key& key,
                       double victims_cost) const {
  double cost = victims_cost + kFillCost * runner.load / context.catalog->slots();
  const std::vector<std::size_t>& holders = context.view->HoldersOf(key);
  for (std::size_t holder : holders)
    if (context.view->runners[holder].zone == runner.zone)
      cost += kZoneCost / static_cast<double>(holders.size());
  if (key.is_model() && !context.view->OnDisk(runner.address, key.model)) cost += kColdCost;
  const Catalog::Model* model = context.catalog->Find(key.model);
  if (model && model->adapters > 0) cost += kAdapterCost * runner.expected.adapter_count();
  // Breaks ties differently for each key and seed.
  const std::size_t hash =
      std::hash<std::string>()(runner.id + '/' + ToText(key)) ^ seed_ * 0x9e3779b97f4a7c15u;
  return cost + static_cast<double>(hash % 1000) * 1e-6;
}

}  // namespace lichenlug::placement
