// Placement on a simulated fleet: what must never happen, and how soon what is asked for is served.
#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

constexpr Time kSettled = 4 * kSecond;

Time TimeToStand(SimulatedFleet* fleet, const Key& key) {
  const Time start = fleet->now();
  while (!fleet->Stands(key) && fleet->now() - start < 30 * kSecond) fleet->Run(10 * kMillisecond);
  return fleet->now() - start;
}

std::string FirstMissing(SimulatedFleet* fleet) {
  for (const messages::Model& model : fleet->service().engine().models())
    if (!fleet->Stands({model.name(), ""})) return model.name();
  return "";
}

void RequireUnbroken(const SimulatedFleet& fleet) {
  for (const std::string& broken : fleet.broken()) INFO(broken);
  REQUIRE((fleet.broken().empty() ? std::string() : fleet.broken().front()) == "");
}

TEST_CASE("nothing asked for: nothing ordered") {
  SimulatedFleet fleet({});
  fleet.Run(30 * kSecond);
  CHECK(fleet.orders() == 0);
  CHECK(fleet.probes() == 0);
}

TEST_CASE("a model that stands nowhere is served within its load time and a second and a half") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.AskZipf(60, 0, 6);
    fleet.Run(kSettled);
    const std::string missing = FirstMissing(&fleet);
    REQUIRE(missing != "");
    fleet.Ask({missing, ""}, 1);
    INFO("seed " << seed << " model " << missing);
    CHECK(TimeToStand(&fleet, {missing, ""}) < 2900 * kMillisecond + 1500 * kMillisecond);
    RequireUnbroken(fleet);
  }
}

TEST_CASE("steady demand moves nothing") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    SimulatedFleet fleet(options);
    fleet.AskZipf(90, 0, 15);
    fleet.Run(30 * kSecond);
    fleet.ResetCounts();
    fleet.Run(60 * kSecond);
    INFO("seed " << seed);
    CHECK(fleet.orders() == 0);
  }
}

}  // namespace
}  // namespace lichenlug::placement
