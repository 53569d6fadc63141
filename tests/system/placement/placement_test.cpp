// Placement on a simulated fleet: invariants, and how soon requested models are loaded.
#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

constexpr Time kSettled = 4 * kSecond;

Time TimeToLoad(SimulatedFleet* fleet, const Key& key) {
  const Time start = fleet->now();
  while (!fleet->IsLoaded(key) && fleet->now() - start < 30 * kSecond) fleet->Run(10 * kMillisecond);
  return fleet->now() - start;
}

std::string FirstMissing(SimulatedFleet* fleet) {
  for (const messages::Model& model : fleet->service().engine().models())
    if (!fleet->IsLoaded({model.name(), ""})) return model.name();
  return "";
}

std::size_t CountHolders(SimulatedFleet* fleet, const Key& key) {
  std::size_t holders = 0;
  for (const SimulatedRunner& runner : fleet->runners()) holders += runner.held.Holds(key) ? 1 : 0;
  return holders;
}

void RequireNoViolations(const SimulatedFleet& fleet) {
  for (const std::string& violation : fleet.violations()) INFO(violation);
  REQUIRE((fleet.violations().empty() ? std::string() : fleet.violations().front()) == "");
}

TEST_CASE("nothing is ordered without demand") {
  SimulatedFleet fleet({});
  fleet.Run(30 * kSecond);
  CHECK(fleet.orders() == 0);
  CHECK(fleet.probes() == 0);
}

TEST_CASE("models that no runner holds are loaded into spare capacity, without unloading others") {
  SimulationOptions options;
  options.models = 20;
  options.prefilled = false;
  SimulatedFleet fleet(options);
  fleet.Run(60 * kSecond);
  for (const messages::Model& model : fleet.service().engine().models()) {
    INFO(model.name());
    CHECK(CountHolders(&fleet, {model.name(), ""}) == 1);
  }
  CHECK(fleet.loads() == 20);
  CHECK(fleet.orders() == 20);
  RequireNoViolations(fleet);
}

TEST_CASE("a frequently requested model gets a second copy in place of an idle model") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.Run(kSettled);
    fleet.SetDemand({fleet.ModelName(7), ""}, 5, 0.2);
    fleet.Run(15 * kSecond);
    INFO("seed " << seed);
    CHECK(CountHolders(&fleet, {fleet.ModelName(7), ""}) >= 2);
    RequireNoViolations(fleet);
  }
}

TEST_CASE("a model that no runner holds is loaded within its load time plus 1.5 seconds") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.SetZipfDemand(60, 0, 6);
    fleet.Run(kSettled);
    const std::string missing = FirstMissing(&fleet);
    REQUIRE(missing != "");
    fleet.SetDemand({missing, ""}, 1);
    INFO("seed " << seed << " model " << missing);
    CHECK(TimeToLoad(&fleet, {missing, ""}) < 2900 * kMillisecond + 1500 * kMillisecond);
    RequireNoViolations(fleet);
  }
}

TEST_CASE("steady demand causes no orders") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.SetZipfDemand(90, 0, 15);
    fleet.Run(30 * kSecond);
    fleet.ResetCounts();
    fleet.Run(60 * kSecond);
    INFO("seed " << seed);
    CHECK(fleet.orders() == 0);
  }
}

// Puts more models into occasional demand than fit.
void AddRareDemand(SimulatedFleet* fleet, int first, double requests_per_s) {
  for (int i = first; i < fleet->service().engine().models_size(); ++i)
    fleet->SetDemand({fleet->ModelName(i), ""}, requests_per_s);
}

TEST_CASE("a busy model keeps the copies it needs while many others are requested occasionally") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.models = 45;
    options.slots = 32;
    options.loads_per_s = 5.7;
    SimulatedFleet fleet(options);
    const Key busy{fleet.ModelName(1), ""};
    fleet.SetDemand(busy, 100);
    fleet.Run(15 * kSecond);
    const std::size_t before = CountHolders(&fleet, busy);
    REQUIRE(before >= 5);
    AddRareDemand(&fleet, 2, 0.25);
    fleet.Run(30 * kSecond);
    INFO("seed " << seed << ", copies before " << before);
    CHECK(CountHolders(&fleet, busy) >= 5);
    RequireNoViolations(fleet);
  }
}

TEST_CASE("a model that becomes busy gets its copies although models in demand take all memory") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.models = 45;
    options.slots = 32;
    options.loads_per_s = 5.7;
    SimulatedFleet fleet(options);
    AddRareDemand(&fleet, 1, 0.25);
    fleet.Run(15 * kSecond);
    const Key busy{fleet.ModelName(1), ""};
    fleet.SetDemand(busy, 100);
    fleet.Run(12 * kSecond);
    INFO("seed " << seed);
    CHECK(CountHolders(&fleet, busy) >= 5);
    RequireNoViolations(fleet);
  }
}

}  // namespace
}  // namespace lichenlug::placement
