// The fleet as the planner sees it at one moment: which runners are ready, what each holds and is about to
// hold, and how the present demand loads them.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "placement/catalog.h"
#include "placement/demand_table.h"
#include "placement/runner_ledger.h"

namespace lichenlug::placement {

// Why something is to be loaded, the most urgent first.
enum class Urgency {
  kAsked,     // asked for, and no ready runner holds it
  kOverload,  // its runners are too few for its demand
  kRelief,    // its runners are full, others aren't
  kSpare,     // worth a copy where there is free room
  kPrefetch,  // stands nowhere and may be asked for, where there is free room
};
const char* ToText(Urgency urgency);

// What a runner is being brought to hold; room is made first.
struct Intent {
  Key target;
  Urgency urgency = Urgency::kAsked;
  Time since = 0;
  double worth = 0;  // what may be unloaded for it at most
};

struct RunnerView {
  std::string id, zone, address;
  bool available = false;  // may be given an intent
  HeldSet held;            // as best known
  HeldSet expected;        // after its order and its intent
  HeldSet may_hold;
  double load = 0;  // requests in work, estimated
};

struct FleetView {
  std::vector<RunnerView> runners;                                      // ready ones
  std::map<Key, std::vector<std::size_t>> holders;                      // by `expected`
  const std::map<std::string, std::set<std::string>>* disks = nullptr;  // by address: models held before

  const std::vector<std::size_t>& HoldersOf(const Key& key) const;
  void Expect(std::size_t runner, const Key& key);
  bool OnDisk(const std::string& address, const std::string& model) const;
};

// Shares the running requests of each key out over its holders, more to those with less.
void EstimateLoads(const DemandTable& demand, int slots, FleetView* view);

}  // namespace lichenlug::placement
