#include <algorithm>
#include <catch2/catch.hpp>

#include "placement/missing_watch.h"
#include "simulated_fleet.h"

namespace lichenlug::placement {
namespace {

TEST_CASE("Explain lists where models are held, which loads are planned and why") {
  SimulatedFleet fleet({});
  fleet.SetDemand({"m0", ""}, 20);
  fleet.SetDemand({"m29", ""}, 1);
  fleet.Run(3500 * kMillisecond);
  const std::vector<std::string> lines = fleet.placement().Explain(fleet.now());
  const auto line = [&](const std::string& start) {
    const auto it = std::find_if(lines.begin(), lines.end(),
                                 [&](const std::string& text) { return text.rfind(start, 0) == 0; });
    return it == lines.end() ? std::string() : *it;
  };
  CHECK(line("llm: epoch 1").find("loads left") != std::string::npos);
  CHECK(line("m0: 20.0/s").find("; on r") != std::string::npos);
  CHECK(line("m29: 1.0/s").find("assigned to r") != std::string::npos);
  CHECK(line("m29: ").find("held by no ready runner") != std::string::npos);
  CHECK(line("runner r0 in z0").find("MB and 8 adapter slots free") != std::string::npos);
  fleet.FailOver(3 * kSecond);
  fleet.Run(kSecond);
  CHECK(fleet.placement().Explain(fleet.now()).size() == 1);
}

TEST_CASE("A model in demand that no runner holds is reported once, and again when it is held") {
  MissingWatch watch;
  const Key model{"m1", ""};
  bool is_held = false;
  const auto update = [&](Time now, const std::set<Key>& missing) {
    return watch.Update(now, missing, [&](const Key&) { return is_held; });
  };
  CHECK(update(10 * kSecond, {model}).empty());
  CHECK(update(12 * kSecond, {model}).empty());
  const auto reported = update(13 * kSecond, {model});
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].key == model);
  CHECK(reported[0].missing_for == 3 * kSecond);
  CHECK_FALSE(reported[0].held_now);
  CHECK(update(14 * kSecond, {model}).empty());
  SECTION("held") {
    is_held = true;
    const auto held = update(15 * kSecond, {});
    REQUIRE(held.size() == 1);
    CHECK(held[0].held_now);
    CHECK(held[0].missing_for == 5 * kSecond);
  }
  SECTION("no longer in demand") { CHECK(update(15 * kSecond, {}).empty()); }
  CHECK(update(16 * kSecond, {}).empty());
}

}  // namespace
}  // namespace lichenlug::placement
