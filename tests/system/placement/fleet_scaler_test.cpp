#include "placement/fleet_scaler.h"

#include <catch2/catch.hpp>

namespace lichenlug::placement {
namespace {

struct Zones {
  Zones() {
    messages::Engine engine;
    engine.set_slots(10);
    engine.add_models()->set_name("m1");
    catalog.Assign(engine);
    fleet.set_minimum(1);
    fleet.set_maximum(3);
    fleet.set_boot_s(8);
    for (const char* zone : {"a", "a", "b", "b"}) {
      RunnerView runner;
      runner.id = "r" + std::to_string(view.runners.size());
      runner.zone = zone;
      runner.expected.Add({"m1", ""});
      view.holders[{"m1", ""}].push_back(view.runners.size());
      view.runners.push_back(runner);
    }
  }
  std::optional<FleetChange> Run(Time span) {
    for (const Time end = now + span; now < end; now += 200 * kMillisecond)
      if (const auto change = scaler.Decide({now, &catalog, &demand, &view, nullptr}, fleet)) return change;
    return std::nullopt;
  }
  void Load(double zone_a, double zone_b) {
    for (RunnerView& runner : view.runners) runner.load = runner.zone == "a" ? zone_a : zone_b;
  }

  Catalog catalog;
  DemandTable demand;
  FleetView view;
  messages::Fleet fleet;
  FleetScaler scaler;
  Time now = 1000 * kSecond;
};

TEST_CASE(
    "a zone grows by one after five seconds of overload, once in the time that a runner takes to start") {
  Zones zones;
  zones.Load(5, 8);
  CHECK_FALSE(zones.Run(5 * kSecond));
  const auto change = zones.Run(kSecond);
  REQUIRE(change);
  CHECK(change->zone == "b");
  CHECK(change->size == 3);
  zones.scaler.Ended(zones.now, true);
  CHECK_FALSE(zones.Run(60 * kSecond));  // three is the most
}

TEST_CASE("a short peak orders nothing") {
  Zones zones;
  for (int i = 0; i < 10; ++i) {
    zones.Load(9, 9);
    CHECK_FALSE(zones.Run(4 * kSecond));
    zones.Load(5, 5);
    CHECK_FALSE(zones.Run(kSecond));
  }
}

TEST_CASE("a zone shrinks after half a minute of idleness, never below the least") {
  Zones zones;
  zones.Load(1, 5);
  CHECK_FALSE(zones.Run(29 * kSecond));
  const auto change = zones.Run(3 * kSecond);
  REQUIRE(change);
  CHECK(change->zone == "a");
  CHECK(change->size == 1);
  zones.scaler.Ended(zones.now, true);
  zones.view.runners.erase(zones.view.runners.begin());
  zones.view.holders[{"m1", ""}] = {0, 1, 2};
  CHECK_FALSE(zones.Run(60 * kSecond));
}

TEST_CASE("a zone whose model in demand stands nowhere else keeps its runners") {
  Zones zones;
  zones.Load(1, 5);
  zones.view.holders[{"m1", ""}] = {0, 1};
  std::vector<messages::DemandReport> reports(1);
  messages::ModelDemand& entry = *reports[0].add_models();
  entry.set_service("llm");
  entry.set_model("m1");
  entry.set_arrivals_per_s(2);
  zones.demand.Update(zones.now, "llm", reports, zones.catalog);
  CHECK_FALSE(zones.Run(60 * kSecond));
}

}  // namespace
}  // namespace lichenlug::placement
