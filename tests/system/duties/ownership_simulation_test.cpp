// Candidates for a duty through days of faults, from seeds.
#include <catch2/catch.hpp>

#include "ownership_checks.h"
#include "ownership_world.h"

namespace lichenlug::duties {

TEST_CASE("days of faults: one holder at a time, epochs of one holder, no turns inside a lease") {
  std::size_t acts = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    OwnershipWorld world(4, seed);
    world.is_rough = true;
    for (auto& node : world.nodes) {
      node.clock_rate = 0.99 + static_cast<double>(world.Random(200)) / 10000;
      node.clock_offset = world.Random(1000 * kSecond);
    }
    for (std::size_t i = 0; i < 4; ++i) world.Start(i);
    world.TellMembers();
    std::map<std::int64_t, std::string> chosen;
    std::uint64_t last_epoch = 0;
    world.on_change = [&] {
      const auto state = StateOf(world.payload);
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
      world.RunFor(100 * kMillisecond);
      const auto i = static_cast<std::size_t>(world.Random(4));
      switch (world.Random(80)) {
        case 0:
          world.Kill(i);
          break;
        case 1:
          if (!world.nodes[i].is_running) world.Start(i);
          break;
        case 2:
          world.Freeze(i);
          break;
        case 3:
          world.Thaw(i);
          break;
        case 4:
          if (world.Runs(i)) world.Resign(i);
          break;
        case 5:
          world.nodes[i].is_cut_off = !world.nodes[i].is_cut_off;
          break;
        case 6:  // its clock pauses for a moment, within the margin of two leases
          if (step % 100 == 0) world.nodes[i].clock_offset -= 150 * kMillisecond;
          break;
        case 8:
          world.nodes[i].is_suspected = !world.nodes[i].is_suspected;
          break;
        case 7:
          world.nodes[i].wanted = !world.nodes[i].wanted;
          break;
        default:
          break;
      }
      if (step % 10 == 0) {
        ++window;
        for (std::size_t k = 0; k < 4; ++k)
          if (world.Holds(k))
            world.ChooseTally(k, MakeTally(window, static_cast<std::uint64_t>(world.Random(100))));
      }
      if (world.Random(15) == 0) world.TellMembers();
    }
    CheckActs(world.acts);
    acts += world.acts.size();

    world.is_rough = false;
    for (std::size_t i = 0; i < 4; ++i) {
      world.Start(i);
      world.TellMembers();
    }
    world.RunFor(12 * kSecond);
    REQUIRE(world.Holder());
    CheckActs(world.acts);
  }
  CHECK(acts > 60 * 2000);  // of 12,000 steps each: the duty was held for a good part of these days
}

}  // namespace lichenlug::duties
