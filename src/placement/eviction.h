// What has to go from a runner before it can load something, and what that costs.
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
  const std::map<Key, Time>* placed = nullptr;       // when what stood nowhere was last assigned to a runner
  int loads_left = std::numeric_limits<int>::max();  // that the weight store allows and no intent waits for
};

// A model's with all its adapters.
const Demand& DemandOf(const PlanContext& context, const Key& key);

struct Victims {
  std::vector<Key> keys;  // empty: there is room already
  double cost = 0;
};

// The cheapest keys whose unloading makes room for the target; nothing if room can't be made at a value of at
// most `most` each.
std::optional<Victims> FindVictims(const PlanContext& context, const RunnerView& runner, const Key& target,
                                   double most);

// The most that unloading may cost for the sake of one more copy of the key: what that copy is worth, on the
// scale of what has to go for it.
double WorthOfCopy(const PlanContext& context, const Key& key, Urgency urgency);

}  // namespace lichenlug::placement
