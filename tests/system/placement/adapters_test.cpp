// Many requested adapters of one model, competing with many rarely requested models.
#include <catch2/catch.hpp>
#include <set>

#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

constexpr int kAdapters = 30;  // more than the adapter slots of three runners

// The adapters that a ready runner held at some time during `span`.
std::set<std::string> AdaptersServed(SimulatedFleet* fleet, const std::string& model, Time span) {
  std::set<std::string> served;
  for (const Time until = fleet->now() + span; fleet->now() < until;) {
    fleet->Run(50 * kMillisecond);
    for (int i = 1; i <= kAdapters; ++i) {
      const std::string adapter = "a" + std::to_string(i);
      if (fleet->IsLoaded({model, adapter})) served.insert(adapter);
    }
  }
  return served;
}

TEST_CASE("adapters in demand get enough copies of their model while all other models are in demand too") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.adapters = kAdapters;
    SimulatedFleet fleet(options);
    for (int i = 1; i < options.models; ++i) fleet.SetDemand({fleet.ModelName(i), ""}, 0.1);
    fleet.Run(5 * kSecond);
    for (int i = 1; i <= kAdapters; ++i) fleet.SetDemand({fleet.ModelName(0), "a" + std::to_string(i)}, 1);
    INFO("seed " << seed);
    CHECK(AdaptersServed(&fleet, fleet.ModelName(0), 10 * kSecond).size() == kAdapters);
    for (const std::string& violation : fleet.violations()) FAIL(violation);
  }
}

TEST_CASE("adapters without a slot add as many copies of their model as they need, not one per plan") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.adapters = 2 * kAdapters;
    options.runners = 18;
    SimulatedFleet fleet(options);
    for (int i = 1; i <= 2 * kAdapters; ++i)
      fleet.SetDemand({fleet.ModelName(3), "a" + std::to_string(i)}, 1);
    fleet.Run(10 * kSecond);
    for (int i = 1; i <= kAdapters; ++i) fleet.SetDemand({fleet.ModelName(6), "a" + std::to_string(i)}, 1);
    fleet.Run(6 * kSecond);
    std::size_t copies = 0;
    for (const SimulatedRunner& runner : fleet.runners())
      copies += runner.held.Holds({fleet.ModelName(6), ""}) ? 1 : 0;
    INFO("seed " << seed);
    CHECK(copies >= 4);
    CHECK(copies <= 7);
    for (const std::string& violation : fleet.violations()) FAIL(violation);
  }
}

}  // namespace
}  // namespace lichenlug::placement
