#include "placement/fleet_scaler.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

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
  void SetLoad(double zone_a, double zone_b) {
    for (RunnerView& runner : view.runners) runner.load = runner.zone == "a" ? zone_a : zone_b;
  }

  Catalog catalog;
  DemandTable demand;
  FleetView view;
  messages::Fleet fleet;
  FleetScaler scaler;
  Time now = 1000 * kSecond;
};

TEST_CASE("a zone grows by one after five seconds of overload, at most once per runner start time") {
  Zones zones;
  zones.SetLoad(5, 8);
  CHECK_FALSE(zones.Run(5 * kSecond));
  const auto change = zones.Run(kSecond);
  REQUIRE(change);
  CHECK(change->zone == "b");
  CHECK(change->size == 3);
  zones.scaler.ChangeCompleted(zones.now, true);
  CHECK_FALSE(zones.Run(60 * kSecond));  // three is the maximum
}

TEST_CASE("a short peak causes no change") {
  Zones zones;
  for (int i = 0; i < 10; ++i) {
    zones.SetLoad(9, 9);
    CHECK_FALSE(zones.Run(4 * kSecond));
    zones.SetLoad(5, 5);
    CHECK_FALSE(zones.Run(kSecond));
  }
}

TEST_CASE("a zone shrinks after half a minute of idleness, never below the minimum") {
  Zones zones;
  zones.SetLoad(1, 5);
  CHECK_FALSE(zones.Run(29 * kSecond));
  const auto change = zones.Run(3 * kSecond);
  REQUIRE(change);
  CHECK(change->zone == "a");
  CHECK(change->size == 1);
  zones.scaler.ChangeCompleted(zones.now, true);
  zones.view.runners.erase(zones.view.runners.begin());
  zones.view.holders[{"m1", ""}] = {0, 1, 2};
  CHECK_FALSE(zones.Run(60 * kSecond));
}

TEST_CASE("a zone that alone holds a model in demand keeps its runners") {
  Zones zones;
  zones.SetLoad(1, 5);
  zones.view.holders[{"m1", ""}] = {0, 1};
  std::vector<messages::DemandReport> reports(1);
  messages::ModelDemand& entry = *reports[0].add_models();
  entry.set_service("llm");
  entry.set_model("m1");
  entry.set_arrivals_per_s(2);
  zones.demand.Update(zones.now, "llm", reports, zones.catalog);
  CHECK_FALSE(zones.Run(60 * kSecond));
}

// Four runners of 100 MB in two zones, at most `maximum` per zone, and `models` models of 30 MB each.
struct ZonesOfModels : Zones {
  explicit ZonesOfModels(int models, int maximum = 10) {
    messages::Engine engine;
    engine.set_slots(10);
    engine.set_weights_mb(100);
    for (int i = 0; i < models; ++i) {
      messages::Model& model = *engine.add_models();
      model.set_name("m" + std::to_string(i));
      model.set_weights_mb(30);
    }
    catalog.Assign(engine);
    fleet.set_maximum(maximum);
  }
  void SetDemand(const std::string& model, double arrivals, double running) {
    std::vector<messages::DemandReport> reports(1);
    reports[0].set_number(++number);
    messages::ModelDemand& entry = *reports[0].add_models();
    entry.set_service("llm");
    entry.set_model(model);
    entry.set_arrivals_per_s(arrivals);
    entry.set_running(running);
    demand.Update(now, "llm", reports, catalog);
  }
  // Applies fleet changes until none is ordered for a minute. Returns the resulting sizes of the changed
  // zones.
  std::map<std::string, int> ApplyChanges() {
    std::map<std::string, int> sizes;
    while (const auto change = Run(60 * kSecond)) {
      scaler.ChangeCompleted(now, true);
      sizes[change->zone] = change->size;
      int here = 0;
      for (const RunnerView& runner : view.runners) here += runner.zone == change->zone ? 1 : 0;
      for (; here < change->size; ++here) {
        RunnerView runner;
        runner.id = "n" + std::to_string(view.runners.size());
        runner.zone = change->zone;
        view.runners.push_back(runner);
      }
    }
    return sizes;
  }

  std::uint64_t number = 0;
};

TEST_CASE("runners are ordered until all models fit, evenly among the zones") {
  ZonesOfModels zones(25);  // 750 MB at 0.95 of 100 MB each: eight runners
  CHECK(zones.ApplyChanges() == std::map<std::string, int>{{"a", 4}, {"b", 4}});
}

TEST_CASE("a fleet that fits all models stays unchanged") {
  ZonesOfModels zones(11);  // 330 MB: four runners
  CHECK(zones.ApplyChanges().empty());
}

TEST_CASE("a busy model counts with as many copies as its demand needs") {
  ZonesOfModels zones(11);
  zones.SetDemand("m3", 20, 50);  // at 0.4 of 10 slots each: thirteen copies, so 690 MB
  CHECK(zones.ApplyChanges() == std::map<std::string, int>{{"a", 4}, {"b", 4}});
}

TEST_CASE("a frequently requested model counts twice") {
  ZonesOfModels zones(12);
  zones.SetDemand("m3", 4, 0.5);  // 390 MB: five runners
  CHECK(zones.ApplyChanges() == std::map<std::string, int>{{"a", 3}});
}

TEST_CASE("no zone is scaled beyond its maximum") {
  ZonesOfModels zones(1000, 5);
  CHECK(zones.ApplyChanges() == std::map<std::string, int>{{"a", 5}, {"b", 5}});
}

TEST_CASE("a new epoch orders nothing until runner records have arrived") {
  ZonesOfModels zones(25);
  zones.scaler.Restart(zones.now);
  CHECK_FALSE(zones.Run(3900 * kMillisecond));
  CHECK(zones.Run(kSecond));
}

TEST_CASE("idle runners that the models need are kept") {
  ZonesOfModels zones(11);
  zones.fleet.set_minimum(1);
  zones.SetLoad(0, 0);
  CHECK(zones.ApplyChanges().empty());
}

}  // namespace
}  // namespace lichenlug::placement
