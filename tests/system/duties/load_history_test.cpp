// The history of loads from the weight store in a register of duties, and how a new owner interprets it.
#include "duties/load_history.h"

#include <catch2/catch.hpp>

#include "ownership_simulation.h"

namespace lichenlug::duties {
namespace {

messages::LoadHistory History(const std::string& service, std::uint32_t begun, std::uint32_t allowance) {
  messages::LoadHistory history;
  history.set_service(service);
  history.set_allowance(allowance);
  messages::LoadsBegun* entry = history.add_begun();
  entry->set_age_us(kSecond);
  entry->set_loads(begun);
  return history;
}

std::uint32_t Total(const messages::LoadHistory& history) {
  std::uint32_t total = 0;
  for (const messages::LoadsBegun& begun : history.begun()) total += begun.loads();
  return total;
}

TEST_CASE("loads age with time, and allowed or unsettled loads count as started now") {
  messages::LoadHistory history = History("llm", 5, 3);
  history.set_unsettled(2);
  AgeLoads(4 * kSecond, &history);
  REQUIRE(history.begun_size() == 2);
  CHECK(history.begun(0).age_us() == 5 * kSecond);
  CHECK(history.begun(0).loads() == 5);
  CHECK(history.begun(1).age_us() == 0);
  CHECK(history.begun(1).loads() == 5);
  CHECK(history.allowance() == 3);
  CHECK(history.unsettled() == 0);
}

TEST_CASE("a clock that went backwards makes no load younger, and old loads are dropped") {
  messages::LoadHistory history = History("llm", 5, 0);
  AgeLoads(-kSecond, &history);
  CHECK(history.begun(0).age_us() == kSecond);
  AgeLoads(120 * kSecond, &history);
  CHECK(history.begun_size() == 0);
}

TEST_CASE("an update replaces only the history of its service") {
  messages::OwnershipState state;
  ReplaceLoads({History("llm", 5, 3), History("vision", 1, 2)}, &state);
  ReplaceLoads({History("llm", 7, 4)}, &state);
  REQUIRE(FindLoads(state, "llm") != nullptr);
  CHECK(Total(*FindLoads(state, "llm")) == 7);
  REQUIRE(FindLoads(state, "vision") != nullptr);
  CHECK(Total(*FindLoads(state, "vision")) == 1);
  CHECK(FindLoads(state, "other") == nullptr);
}

TEST_CASE("a state holds the histories of a bounded number of services") {
  messages::OwnershipState state;
  for (int i = 0; i < 1000; ++i) ReplaceLoads({History("s" + std::to_string(i), 1, 1)}, &state);
  CHECK(state.loads_size() == 256);
  ReplaceLoads({History("s7", 9, 1)}, &state);
  CHECK(Total(*FindLoads(state, "s7")) == 9);
}

TEST_CASE("a new owner sees the loads of the previous one, and counts its allowance as started") {
  OwnershipSimulation testbed(3, 4);
  testbed.loads = {History("llm", 5, 3)};
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  REQUIRE(FindLoads(testbed.nodes[first].ownership->state(), "llm") != nullptr);
  testbed.Kill(first);
  testbed.UpdateMembers();
  testbed.loads.clear();  // the new owner has placed nothing yet
  while (!testbed.Holder()) testbed.RunFor(10 * kMillisecond);
  const auto& taken = testbed.nodes[*testbed.Holder()].ownership;
  const messages::LoadHistory* history = FindLoads(taken->state(), "llm");
  REQUIRE(history != nullptr);
  CHECK(Total(*history) == 8);
  CHECK(history->begun(0).age_us() >= kSecond + OwnershipSimulation::kLease);
  CHECK(history->begun(1).age_us() == 0);
  REQUIRE(taken->lease_started_at());
}

TEST_CASE("an owner that resigns records its loads once more, without an allowance") {
  OwnershipSimulation testbed(3, 5);
  testbed.loads = {History("llm", 5, 3)};
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.loads = {History("llm", 6, 0)};
  testbed.Resign(first);
  testbed.loads.clear();
  while (!testbed.Holder() || *testbed.Holder() == first) testbed.RunFor(10 * kMillisecond);
  const messages::LoadHistory* history =
      FindLoads(testbed.nodes[*testbed.Holder()].ownership->state(), "llm");
  REQUIRE(history != nullptr);
  CHECK(Total(*history) == 6);
}

}  // namespace
}  // namespace lichenlug::duties
