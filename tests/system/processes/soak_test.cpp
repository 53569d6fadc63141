// Overlapping signals, restarts and changes in a series drawn from a seed (lab/system/soak.h), and signals at
// any moment between the start and the end of a process.
#include "lab/system/soak.h"

#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

constexpr Time kSoakLength = 12 * kSecond;

void CheckSoak(SoakPlan plan) {
  plan.system.program = LICHENLUGD_PATH;
  plan.length = kSoakLength;
  plan.timeout = 2 * kTimeout;
  Soak soak(plan);
  const SoakReport report = soak.Play();
  INFO("seed " << plan.seed);
  for (const std::string& what : report.broken) UNSCOPED_INFO(what);
  if (!report.broken.empty()) UNSCOPED_INFO(soak.Logs());
  CHECK(report.broken.empty());
  CHECK(report.clients.served > 0);
}

TEST_CASE("Overlapping signals, restarts and changes violate no rule", "[soak]") {
  const std::uint64_t seed = GENERATE(1, 2);
  SoakPlan plan;
  plan.seed = seed;
  CheckSoak(plan);
}

TEST_CASE("A separate core that tolerates the loss of two disks violates no rule", "[separate-core-soak]") {
  SoakPlan plan;
  plan.seed = 3;
  plan.system.core = 5;
  plan.system.diskless = 3;
  plan.system.core_serves_clients = false;
  plan.system.tolerated_losses = 2;
  CheckSoak(plan);
}

TEST_CASE("A dispatcher handles signals from its start to its end", "[signals]") {
  Testbed testbed(3, 1, 2);
  REQUIRE(testbed.Found());
  Dispatcher& dispatcher = testbed.system().dispatcher(3);
  for (int life = 0; life < 3; ++life) {
    REQUIRE(dispatcher.Kill(kTimeout));
    dispatcher.Start();
    while (dispatcher.Running() && !dispatcher.TakesSignals()) {
    }
    for (int time = 0; time < 3; ++time) dispatcher.Reload(dispatcher.SettingsText(false));
    CHECK(testbed.RunUntil([&] { return testbed.system().SaysReady(3); }));
    CHECK(dispatcher.Running());
    dispatcher.Terminate();
    CHECK(testbed.RunUntil([&] {
      dispatcher.Reload(dispatcher.SettingsText(false));
      dispatcher.Terminate();
      return !dispatcher.Running();
    }));
    CHECK(dispatcher.EndedWell());
    INFO(dispatcher.LastEnd());
  }
}

}  // namespace
}  // namespace lichenlug::standins::test
