// Checks that apply to every simulated run of a duty, and values for its tests.
#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ownership_simulation.h"

namespace lichenlug::duties {

inline messages::OwnershipState StateOf(const std::string& payload) {
  messages::OwnershipState state;
  REQUIRE(state.ParseFromString(payload));
  return state;
}

inline messages::WindowCount MakeTally(std::int64_t window, std::uint64_t count) {
  messages::WindowCount tally;
  tally.set_window(window);
  auto* tenant = tally.add_counts();
  tenant->set_tenant("tenant");
  tenant->set_count(count);
  return tally;
}

// Checks the actions of holders: each epoch belongs to one process, epochs never decrease, no two holders act
// at the same time, and a former holder acts again only a whole lease after its previous turn.
inline void CheckActions(const std::vector<OwnershipSimulation::Action>& actions) {
  std::map<std::uint64_t, std::uint64_t> incarnation_of_epoch;
  std::map<std::size_t, Time> turn_ended;  // by node: its last action before that of another
  for (std::size_t k = 0; k < actions.size(); ++k) {
    const auto& action = actions[k];
    const auto [known, added] = incarnation_of_epoch.try_emplace(action.epoch, action.incarnation);
    REQUIRE(known->second == action.incarnation);
    if (k == 0) continue;
    REQUIRE(action.epoch >= actions[k - 1].epoch);
    if (action.node == actions[k - 1].node) continue;
    REQUIRE(action.at > actions[k - 1].at);  // never two at the same time
    turn_ended[actions[k - 1].node] = actions[k - 1].at;
    if (turn_ended.contains(action.node))
      REQUIRE(action.at - turn_ended[action.node] >= OwnershipSimulation::kLease);
  }
}

}  // namespace lichenlug::duties
