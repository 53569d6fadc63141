// The stored form of runners' announced ends.
#include "registry/end_records.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace lichenlug::registry {
namespace {

using Records = std::vector<std::pair<std::string, std::string>>;

constexpr Time kWallTime = 1'700'000'000 * kSecond;

messages::RunnerRecord Gone(std::int64_t ended_ms_ago) {
  messages::RunnerRecord record;
  record.set_runner_id("i-1");
  record.set_state(messages::RUNNER_GONE);
  record.set_ended_ms_ago(ended_ms_ago);
  return record;
}

Records RecordsWith(const messages::RunnerRecord& record) {
  return {{"accepted/configuration", "a register's"},
          {EndKey(record.runner_id()), EndValue(record, kWallTime)},
          {"system/founding", "a founding's"}};
}

}  // namespace

TEST_CASE("a stored end is read with the time since it, and other records stay") {
  Records records = RecordsWith(Gone(500));
  const auto ends = ExtractEnds(&records, kWallTime + 3 * kSecond).ends;
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].runner_id() == "i-1");
  CHECK(ends[0].state() == messages::RUNNER_GONE);
  CHECK(ends[0].ended_ms_ago() == 3500);
  REQUIRE(records.size() == 2);
  CHECK(records[0].first == "accepted/configuration");
  CHECK(records[1].first == "system/founding");
}

TEST_CASE("a wall clock that was set back makes no end lie in the future") {
  Records records = RecordsWith(Gone(0));
  const auto ends = ExtractEnds(&records, kWallTime - 5 * kSecond).ends;
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].ended_ms_ago() == 0);
}

TEST_CASE("an end that can't be read is told by its key") {
  Records records = {{EndKey("i-1"), "\xff\xff"}, {EndKey("i-2"), ""}};
  const StoredEnds stored = ExtractEnds(&records, kWallTime);
  CHECK(stored.ends.empty());
  CHECK(stored.unreadable_keys == std::vector<std::string>{EndKey("i-1"), EndKey("i-2")});
  CHECK(records.empty());
}

}  // namespace lichenlug::registry
