// Randomized simulation of the candidates for a duty under faults.
#include "ownership_simulation.h"

#include <catch2/catch.hpp>

#include "ownership_checks.h"

namespace lichenlug::duties {

TEST_CASE("under faults there is one holder at a time and per epoch, and no new turn within a lease") {
  std::size_t actions = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    OwnershipSimulation testbed(4, seed);
    testbed.is_faulty = true;
    for (auto& node : testbed.nodes) {
      node.clock_rate = 0.99 + static_cast<double>(testbed.Random(200)) / 10000;
      node.clock_offset = testbed.Random(1000 * kSecond);
    }
    for (std::size_t i = 0; i < 4; ++i) testbed.Start(i);
    testbed.UpdateMembers();
    std::map<std::int64_t, std::string> chosen;
    std::uint64_t last_epoch = 0;
    testbed.on_change = [&] {
      const auto state = StateOf(testbed.payload);
      REQUIRE(state.epoch() >= last_epoch);
      last_epoch = state.epoch();
      REQUIRE(state.tallies_size() <= 16);
      for (const auto& tally : state.tallies()) {
        const auto [known, added] = chosen.try_emplace(tally.window(), tally.SerializeAsString());
        REQUIRE(known->second == tally.SerializeAsString());
        if (added) REQUIRE(chosen.rbegin()->first == tally.window());
      }
    };
    std::int64_t window = 0;
    for (int step = 0; step < 1200; ++step) {
      testbed.RunFor(100 * kMillisecond);
      const auto i = static_cast<std::size_t>(testbed.Random(4));
      switch (testbed.Random(80)) {
        case 0:
          testbed.Kill(i);
          break;
        case 1:
          if (!testbed.nodes[i].is_running) testbed.Start(i);
          break;
        case 2:
          testbed.Freeze(i);
          break;
        case 3:
          testbed.Thaw(i);
          break;
        case 4:
          if (testbed.Runs(i)) testbed.Resign(i);
          break;
        case 5:
          testbed.nodes[i].is_cut_off = !testbed.nodes[i].is_cut_off;
          break;
        case 6:  // its clock pauses for a moment, within the margins of two leases
          if (step % 100 == 0) testbed.nodes[i].clock_offset -= 150 * kMillisecond;
          break;
        case 8:
          testbed.nodes[i].is_suspected = !testbed.nodes[i].is_suspected;
          break;
        case 7:
          testbed.nodes[i].wanted = !testbed.nodes[i].wanted;
          break;
        default:
          break;
      }
      if (step % 10 == 0) {
        ++window;
        for (std::size_t k = 0; k < 4; ++k)
          if (testbed.Holds(k))
            testbed.ChooseTally(k, MakeTally(window, static_cast<std::uint64_t>(testbed.Random(100))));
      }
      if (testbed.Random(15) == 0) testbed.UpdateMembers();
    }
    CheckActions(testbed.actions);
    actions += testbed.actions.size();

    testbed.is_faulty = false;
    for (std::size_t i = 0; i < 4; ++i) {
      testbed.Start(i);
      testbed.UpdateMembers();
    }
    testbed.RunFor(12 * kSecond);
    REQUIRE(testbed.Holder());
    CheckActions(testbed.actions);
  }
  CHECK(actions > 60 * 2000);  // of 12,000 steps each: the duty was held for a good part of the time
}

}  // namespace lichenlug::duties
