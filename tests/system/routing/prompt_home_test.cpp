// Homes derived from the prompt parts that requests share.
#include "routing/prompt_home.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

constexpr int kHolders = 6;

Testbed TestbedWithHolders(int count, int others) {
  Testbed testbed;
  for (int i = 0; i < count; ++i) testbed.AddRunner("h" + std::to_string(i), "pool", 64, {"m1"});
  for (int i = 0; i < others; ++i) testbed.AddRunner("o" + std::to_string(i), "pool", 64, {"m2"});
  return testbed;
}

// Returns the runner that an otherwise idle dispatcher chooses for a request with this prompt.
std::string RunnerFor(TestDispatcher* dispatcher, const std::vector<std::string>& parts) {
  Arrival arrival = MakeArrival(dispatcher->next_request++, dispatcher->now, "m1");
  arrival.prompt_parts = parts;
  const auto started = DecisionsOfType<StartAttempt>(dispatcher->Arrived(arrival));
  if (started.empty()) return "";
  dispatcher->Ended(started.front(), AttemptOutcome::kServed, /*final=*/true);
  return started.front().runner_id;
}

TEST_CASE("the last part of a prompt does not affect the home", "[prompt_home]") {
  const Holding model = HoldingOf("m1", "");
  CHECK(PromptHome(model, {}) == model);
  CHECK(PromptHome(model, {"own"}) == model);
  CHECK(PromptHome(model, {"a", "b", "x"}) == PromptHome(model, {"a", "b", "y"}));
  CHECK(PromptHome(model, {"a", "b", "x"}) != PromptHome(model, {"a", "c", "x"}));
  CHECK(PromptHome(model, {"a", "b", "x"}) != PromptHome(model, {"b", "a", "x"}));
  CHECK(PromptHome(model, {"a", "x"}) != PromptHome(HoldingOf("m2", ""), {"a", "x"}));
}

TEST_CASE("requests that share a prefix go to the same runner from every dispatcher", "[prompt_home]") {
  const Testbed testbed = TestbedWithHolders(kHolders, 20);
  TestDispatcher first(testbed, 1), second(testbed, 2);
  for (int group = 0; group < 20; ++group) {
    const std::string shared = "shared-" + std::to_string(group);
    const std::string home = RunnerFor(&first, {"class", shared, "own-1"});
    REQUIRE_FALSE(home.empty());
    CHECK(RunnerFor(&first, {"class", shared, "own-2"}) == home);
    CHECK(RunnerFor(&second, {"class", shared, "own-3"}) == home);
  }
}

TEST_CASE("the prompt groups of one model are spread over all its holders", "[prompt_home]") {
  const Testbed testbed = TestbedWithHolders(kHolders, 20);
  TestDispatcher dispatcher(testbed);
  std::map<std::string, int> groups;
  constexpr int kGroups = 300;
  for (int group = 0; group < kGroups; ++group)
    ++groups[RunnerFor(&dispatcher, {"class", "shared-" + std::to_string(group), "own"})];
  CHECK(groups.size() == kHolders);
  for (const auto& [runner, count] : groups) {
    INFO(runner << " " << count);
    CHECK(count < 2.5 * kGroups / kHolders);
  }
}

TEST_CASE("a model with one holder among many runners is found from every home", "[prompt_home]") {
  const Testbed testbed = TestbedWithHolders(1, 120);
  TestDispatcher dispatcher(testbed);
  for (int group = 0; group < 300; ++group)
    REQUIRE(RunnerFor(&dispatcher, {"class", "shared-" + std::to_string(group), "own"}) == "h0");
}

}  // namespace
}  // namespace lichenlug::routing
