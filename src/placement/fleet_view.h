// Snapshot of the fleet for the planner: the ready runners, what each holds and is expected to hold, and the
// load that current demand puts on them.
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

// Reason for a load, the most urgent first.
enum class Urgency {
  kMissing,   // in demand, and no ready runner holds it
  kOverload,  // its demand exceeds the capacity of its runners
  kRelief,    // its runners are full while others aren't
  kSpare,     // busy; gets another copy where capacity is spare
  kPrefetch,  // held by no runner and not in demand yet; loaded where capacity is spare
};
const char* ToText(Urgency urgency);

// A planned load on a runner. Other keys are unloaded first if it doesn't fit.
struct Intent {
  Key target;
  Urgency urgency = Urgency::kMissing;
  Time since = 0;
  double worth = 0;  // maximum value of a key that may be unloaded for it
};

struct RunnerView {
  std::string id, zone, address;
  bool available = false;  // can be assigned an intent
  HeldSet held;            // latest known state
  HeldSet expected;        // once its order and its intent are complete
  HeldSet may_hold;        // upper bound, including loads that may still arrive
  double load = 0;         // estimated number of running requests
};

struct FleetView {
  std::vector<RunnerView> runners;                                      // only ready runners
  std::map<Key, std::vector<std::size_t>> holders;                      // by `expected`
  const std::map<std::string, std::set<std::string>>* disks = nullptr;  // by address: models held before

  const std::vector<std::size_t>& HoldersOf(const Key& key) const;
  void AddExpected(std::size_t runner, const Key& key);
  bool OnDisk(const std::string& address, const std::string& model) const;
};

// Distributes the running requests of each key over its holders, more to those with less load.
void EstimateLoads(const DemandTable& demand, int slots, FleetView* view);

}  // namespace lichenlug::placement
