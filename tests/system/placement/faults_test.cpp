// Seeded runs of placement under crashes, silent runners, lost and late orders, and changes of the duty's
// holder.
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

void RequireNoViolations(const SimulatedFleet& fleet, std::uint64_t seed) {
  INFO("seed " << seed);
  REQUIRE((fleet.violations().empty() ? std::string() : fleet.violations().front()) == "");
}

// Injects one random fault or change of demand.
void InjectFault(SimulatedFleet* fleet, std::mt19937_64* random, bool failovers) {
  const auto below = [&](std::uint64_t bound) { return static_cast<std::size_t>((*random)() % bound); };
  const std::size_t runner = below(fleet->runners().size());
  const int models = fleet->service().engine().models_size();
  switch (below(failovers ? 8 : 6)) {
    case 0:
      return fleet->Crash(runner, kSecond + static_cast<Time>(below(4)) * kSecond);
    case 1:
      return fleet->SetZipfDemand(60 + static_cast<double>(below(400)), static_cast<int>(below(30)), 30);
    case 2:
    case 3: {  // several rare models come into demand at once
      for (int i = 0; i < 6; ++i)
        fleet->SetDemand({fleet->ModelName(static_cast<int>(below(models))), ""}, 0.5);
      return;
    }
    case 4: {
      const int model = static_cast<int>(below(models)) / 3 * 3;
      for (int i = 0; i < 5; ++i)
        fleet->SetDemand({fleet->ModelName(model), "a" + std::to_string(1 + below(12))}, 1);
      return;
    }
    case 5:
      return fleet->SetSilent(runner, !fleet->runners()[runner].silent);
    default:
      return fleet->FailOver(3200 * kMillisecond + static_cast<Time>(below(2000)) * kMillisecond);
  }
}

TEST_CASE("limits hold under random faults and changes of demand") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.lost_request = seed % 3 == 0 ? 0.1 : 0.01;
    options.lost_answer = seed % 4 == 0 ? 0.2 : 0.02;
    options.late_request = seed % 5 == 0 ? 0.15 : 0.01;
    options.fences_checked = seed % 2 == 0;
    SimulatedFleet fleet(options);
    fleet.SetZipfDemand(60, 0, 15);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 40; ++i) {
      fleet.Run(static_cast<Time>(500 + random() % 3000) * kMillisecond);
      InjectFault(&fleet, &random, true);
    }
    RequireNoViolations(fleet, seed);
  }
}

// Memory is scarce, so that an order that arrives late finds its runner filled with other models.
TEST_CASE("limits hold when many orders arrive late and memory is scarce") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.runners = 4;
    options.loads_per_s = 20;
    options.late_request = 0.3;
    options.lost_answer = 0.2;
    options.max_delay = (2 + static_cast<Time>(seed % 12)) * kSecond;
    options.fences_checked = false;
    SimulatedFleet fleet(options);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 60; ++i) {
      for (int model = 0; model < 30; ++model)
        fleet.SetDemand({fleet.ModelName(model), ""}, random() % 8 == 0 ? 1 : 0);
      fleet.Run(static_cast<Time>(1000 + random() % 2000) * kMillisecond);
      if (random() % 10 == 0) fleet.FailOver(3100 * kMillisecond);
    }
    RequireNoViolations(fleet, seed);
    CHECK(fleet.loads() > 20);
  }
}

// The holder changes as often as possible, and each holder loads as much as it may.
TEST_CASE("the load limit holds across changes of the holder") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.runners = 40;
    options.models = 120;
    options.prefilled = false;
    options.assumed_heartbeat = 100 * kMillisecond;
    options.late_request = seed % 2 == 0 ? 0.3 : 0;
    SimulatedFleet fleet(options);
    for (int i = 0; i < options.models; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, 1);
    for (int i = 0; i < 8; ++i) {
      fleet.Run(static_cast<Time>(1 + i) * kSecond);
      fleet.FailOver(options.late_request > 0 ? 4500 * kMillisecond : 3100 * kMillisecond);
    }
    RequireNoViolations(fleet, seed);
    CHECK(fleet.loads() > 20);
  }
}

TEST_CASE("a model lost in a crash is soon loaded again") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.SetZipfDemand(60, 0, 15);
    fleet.Run(10 * kSecond);
    fleet.Crash(seed % 9, 3 * kSecond);
    fleet.Run(10 * kSecond);
    fleet.ResetCounts();
    fleet.Run(10 * kSecond);
    INFO("seed " << seed);
    CHECK(fleet.unserved_share() < 0.002);
    RequireNoViolations(fleet, seed);
  }
}

TEST_CASE("a runner that restarts empty gets busy models, one at a time") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.SetZipfDemand(60, 0, 15);
    fleet.Run(20 * kSecond);
    fleet.Crash(8, 2 * kSecond);
    fleet.Run(20 * kSecond);
    INFO("seed " << seed);
    CHECK(fleet.runners()[8].held.models().size() >= 1);
    fleet.ResetCounts();
    fleet.Run(30 * kSecond);
    CHECK(fleet.orders() == 0);
    RequireNoViolations(fleet, seed);
  }
}

TEST_CASE("placement follows a shift of demand and a burst of rare models") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.runners = 18;
    options.slots = 32;
    options.models = 64;
    options.loads_per_s = 5.7;
    SimulatedFleet fleet(options);
    fleet.SetZipfDemand(110, 0, 25);
    fleet.Run(10 * kSecond);
    fleet.SetZipfDemand(110, 20, 25);
    for (int i = 50; i < 58; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, 0.7);
    fleet.Run(8 * kSecond);
    fleet.ResetCounts();
    fleet.Run(20 * kSecond);
    INFO("seed " << seed << " orders " << fleet.orders() << " loads " << fleet.loads());
    CHECK(fleet.unserved_share() < 0.01);
    RequireNoViolations(fleet, seed);
  }
}

// More models are in demand than fit: they replace each other, with a bounded number of loads.
TEST_CASE("no model starves when not all in demand fit") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    for (int i = 0; i < 30; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, i < 3 ? 20 : 0.2);
    fleet.Run(20 * kSecond);
    fleet.ResetCounts();
    std::set<int> loaded;
    for (int step = 0; step < 400; ++step) {
      fleet.Run(100 * kMillisecond);
      for (int i = 0; i < 30; ++i)
        if (fleet.IsLoaded({fleet.ModelName(i), ""})) loaded.insert(i);
    }
    INFO("seed " << seed << " orders " << fleet.orders() << " loads " << fleet.loads());
    CHECK(loaded.size() == 30);
    CHECK(fleet.loads() <= 72);  // 27 places, each refilled at most once per 15 s
    RequireNoViolations(fleet, seed);
  }
}

TEST_CASE("a drained runner and a silent one get no orders") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.prefilled = false;
    SimulatedFleet fleet(options);
    fleet.Drain(0);
    fleet.Run(2 * kSecond);
    const std::string drained = fleet.runners()[0].address;
    bool ordered = false;
    fleet.on_call = [&](const duties::HttpCall& call) { ordered = ordered || call.address == drained; };
    fleet.SetZipfDemand(300, 0, 15);
    fleet.Run(20 * kSecond);
    CHECK_FALSE(ordered);
    CHECK(fleet.loads() > 5);
  }
}

TEST_CASE("adapters in demand are loaded, and idle ones are replaced") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.SetDemand({"m3", ""}, 5);
    fleet.Run(3 * kSecond);
    for (int first : {1, 7}) {
      for (int i = first; i < first + 6; ++i) fleet.SetDemand({"m3", "a" + std::to_string(i)}, 1);
      fleet.Run(6 * kSecond);
      for (int i = first; i < first + 6; ++i) {
        INFO("seed " << seed << " adapter " << i);
        CHECK(fleet.IsLoaded({"m3", "a" + std::to_string(i)}));
        fleet.SetDemand({"m3", "a" + std::to_string(i)}, 0);
      }
      fleet.Run(15 * kSecond);
    }
    RequireNoViolations(fleet, seed);
  }
}

}  // namespace
}  // namespace lichenlug::placement
