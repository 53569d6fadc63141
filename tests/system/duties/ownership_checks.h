// Checks that apply to every simulated run of a duty, and values for its tests.
#pragma once

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ownership_world.h"

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
inline void CheckActs(const std::vector<OwnershipWorld::Act>& acts) {
  std::map<std::uint64_t, std::uint64_t> life_of_epoch;
  std::map<std::size_t, Time> turn_ended;  // by node: its last action before that of another
  for (std::size_t k = 0; k < acts.size(); ++k) {
    const auto& act = acts[k];
    const auto [known, added] = life_of_epoch.try_emplace(act.epoch, act.incarnation);
    REQUIRE(known->second == act.incarnation);
    if (k == 0) continue;
    REQUIRE(act.epoch >= acts[k - 1].epoch);
    if (act.node == acts[k - 1].node) continue;
    REQUIRE(act.at > acts[k - 1].at);  // never two at the same time
    turn_ended[acts[k - 1].node] = acts[k - 1].at;
    if (turn_ended.contains(act.node)) REQUIRE(act.at - turn_ended[act.node] >= OwnershipWorld::kLease);
  }
}

}  // namespace lichenlug::duties
