#include <algorithm>
#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace lichenlug::placement
