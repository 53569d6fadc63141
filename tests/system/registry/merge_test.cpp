// The merge of records is a join: the result does not depend on order or repetition.
#include "registry/merge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "registry_network.h"

namespace lichenlug::registry {
namespace {

std::pair<std::uint64_t, messages::RunnerState> Merged(const std::vector<messages::RunnerRecord>& records) {
  TrackedRunner runner;
  runner.record = MakeRecord("i-1", 0);
  runner.last_call_count = runner.record.call_count();
  for (const auto& record : records) MergeRecord(record, true, &runner);
  return {runner.record.call_count(), runner.record.state()};
}

}  // namespace

TEST_CASE("merging records is independent of order and repetition") {
  std::mt19937_64 random(1);
  for (int round = 0; round < 20000; ++round) {
    std::vector<messages::RunnerRecord> records;
    const std::size_t count = 1 + random() % 5;
    for (std::size_t i = 0; i < count; ++i)
      records.push_back(MakeRecord("i-1", random() % 4, static_cast<messages::RunnerState>(random() % 4)));
    const auto merged = Merged(records);
    std::shuffle(records.begin(), records.end(), random);
    records.push_back(records[random() % records.size()]);
    REQUIRE(Merged(records) == merged);
  }
}

TEST_CASE("WouldChange predicts whether MergeRecord changes a record") {
  std::mt19937_64 random(2);
  for (int round = 0; round < 20000; ++round) {
    auto held = MakeRecord("i-1", random() % 4, static_cast<messages::RunnerState>(random() % 4));
    if (held.state() == messages::RUNNER_GONE) MarkGone(&held);
    const auto offered = MakeRecord("i-1", random() % 4, static_cast<messages::RunnerState>(random() % 4));
    TrackedRunner runner;
    runner.record = held;
    runner.last_call_count = held.call_count();
    const bool changed = MergeRecord(offered, true, &runner) != MergeResult::kNothing;
    CAPTURE(held.ShortDebugString(), offered.ShortDebugString());
    REQUIRE(changed == WouldChange(VersionOf(held), VersionOf(offered)));
    REQUIRE_FALSE(WouldChange(VersionOf(runner.record), VersionOf(offered)));
  }
}

TEST_CASE("a draining runner never becomes ready again, and a removed one is never alive again") {
  for (const auto sticky : {messages::RUNNER_DRAINING, messages::RUNNER_GONE}) {
    TrackedRunner runner;
    runner.record = MakeRecord("i-1", 5, sticky);
    runner.last_call_count = 5;
    for (std::uint64_t count = 1; count < 10; ++count) {
      MergeRecord(MakeRecord("i-1", count, messages::RUNNER_READY), true, &runner);
      CHECK(runner.record.state() == sticky);
    }
  }
  TrackedRunner lost;
  lost.record = MakeRecord("i-1", 5, messages::RUNNER_DRAINING);
  MergeRecord(MakeRecord("i-1", 6, messages::RUNNER_LOST), true, &lost);
  CHECK(lost.record.state() == messages::RUNNER_LOST);
  MergeRecord(MakeRecord("i-1", 7, messages::RUNNER_READY), true, &lost);
  CHECK(lost.record.state() == messages::RUNNER_DRAINING);
}

TEST_CASE("a loss is refuted if a later heartbeat was received here") {
  TrackedRunner runner;
  runner.record = MakeRecord("i-1", 5, messages::RUNNER_READY);
  runner.last_call_count = 9;
  SECTION("with the call count of that heartbeat") {
    CHECK(MergeRecord(MakeRecord("i-1", 8, messages::RUNNER_LOST), true, &runner) == MergeResult::kRefuted);
    CHECK(runner.record.state() == messages::RUNNER_READY);
    CHECK(runner.record.call_count() == 9);
  }
  SECTION("but not if another runner has the address") {
    CHECK(MergeRecord(MakeRecord("i-1", 8, messages::RUNNER_LOST), false, &runner) == MergeResult::kChanged);
    CHECK(runner.record.state() == messages::RUNNER_LOST);
  }
  SECTION("nor if the loss is later") {
    CHECK(MergeRecord(MakeRecord("i-1", 9, messages::RUNNER_LOST), true, &runner) == MergeResult::kChanged);
  }
}

}  // namespace lichenlug::registry
