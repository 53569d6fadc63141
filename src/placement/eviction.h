// Chooses what a runner has to unload before it can load something, and rates the cost.
#pragma once

#include <limits>
#include <optional>
#include <vector>

#include "placement/fleet_view.h"

namespace lichenlug::placement {

struct PlanContext {
  Time now = 0;
  const Catalog* catalog = nullptr;
  const DemandTable* demand = nullptr;
  FleetView* view = nullptr;
  const std::map<Key, Time>* placed = nullptr;       // when a key held by no ready runner was last assigned
  int loads_left = std::numeric_limits<int>::max();  // model loads the store allows, less waiting intents
};

// For a model, the total including all its adapters.
const Demand& DemandOf(const PlanContext& context, const Key& key);

struct Victims {
  std::vector<Key> keys;  // empty if the target fits already
  double cost = 0;
};

// The cheapest keys to unload so that the target fits. Returns nullopt if it can't be made to fit by
// unloading only keys with a value of at most `max_value` each.
std::optional<Victims> FindVictims(const PlanContext& context, const RunnerView& runner, const Key& target,
                                   double max_value);

// The value of one more copy of the key, on the same scale as the value of the keys that may be unloaded for
// it. Keys with a higher value aren't unloaded for that copy.
double WorthOfCopy(const PlanContext& context, const Key& key, Urgency urgency);

}  // namespace lichenlug::placement
