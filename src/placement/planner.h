// Decides what ready runners should load: first models and adapters that are in demand and held by no runner,
// then further copies according to demand. A copy is unloaded only when its space is needed for another key.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "placement/eviction.h"

namespace lichenlug::placement {

struct Assignment {
  std::size_t runner = 0;  // index in FleetView::runners
  Intent intent;
};

class Planner {
 public:
  explicit Planner(std::uint64_t seed) : seed_(seed) {}

  // Ignores a key that a runner refused as invalid until the given time.
  void Refuse(const Key& key, Time until);

  std::vector<Assignment> Plan(PlanContext context);
  const std::map<Key, Time>& placed() const { return placed_; }

  // The number of copies wanted of a key at the last plan and what prevents them, for the operator.
  struct CopyGoal {
    std::size_t copies = 0;
    Urgency urgency = Urgency::kMissing;
    double max_fill = 0;  // maximum ratio of load to slots of a runner that may get a copy
    const char* blocked_reason = "";
    bool saturated = false;  // more running requests than its runners have slots
  };
  const std::map<Key, CopyGoal>& copy_goals() const { return copy_goals_; }

 private:
  struct Pass {
    const PlanContext* context;
    std::vector<Assignment>* assignments;
    std::size_t optional_left;  // number of copies that aren't urgent that may still be assigned
    int* loads_left;            // of models; a load that waits would keep its runner from loading adapters
  };
  bool Refused(Time now, const Key& key) const;
  bool Place(const Pass& pass, const Key& key, Urgency urgency, double max_fill);
  double CostOf(const PlanContext& context, const RunnerView& runner, const Key& key,
                double victims_cost) const;
  CopyGoal CopyGoalFor(const PlanContext& context, const Key& key, const Demand& demand, double fill) const;
  bool IsDue(Time now, const Key& key, const CopyGoal& goal, std::size_t copies);
  void FindCrowdedModels(const PlanContext& context);
  // Only keys whose copy is worth at least `min_worth`.
  void PlaceMissing(const Pass& pass, double min_worth);
  void Prefetch(Pass* pass);
  void PlaceCopies(Pass* pass, double min_worth);

  std::uint64_t seed_;
  std::map<Key, CopyGoal> copy_goals_;
  std::map<Key, Time> short_since_;  // since when a key has had too few copies
  std::map<Key, Time> refused_;
  std::map<Key, Time> placed_;                         // when a key held by no runner was last assigned
  std::map<std::string, std::size_t> crowded_models_;  // by model: copies its adapters in demand need
};

}  // namespace lichenlug::placement
