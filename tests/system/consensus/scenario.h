// One simulation run: clients make calls while faults of the enabled kinds are injected; then the faults end,
// and every call must complete.
#pragma once

#include <string>
#include <vector>

#include "world.h"

namespace lichenlug::consensus {

struct Scenario {
  int founders = 3;
  int others_with_disk = 1;
  int without_disk = 1;
  NetworkFaults network;
  bool kills = false;  // any number of processes at once
  bool wipes = false;  // at most as many disks as the group tolerates, until they are replaced
  bool freezes = false;
  bool cuts = false;
  bool disk_faults = false;
  bool group_changes = false;  // machines of the replica groups are replaced one at a time
  Time duration = 3 * kSecond;
};

// Returns the violations, one line each.
std::vector<std::string> RunScenario(const Scenario& scenario, std::uint64_t seed);

}  // namespace lichenlug::consensus
