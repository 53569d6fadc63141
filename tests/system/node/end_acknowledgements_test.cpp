// A runner's drain is acknowledged once the core holds it, and refused in time where that does not come.
#include "node/end_acknowledgements.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace lichenlug::node {
namespace {

constexpr Time kStart = 100 * kSecond;

struct Fixture {
  EndAcknowledgements ends;
  std::set<std::string> known;
  std::vector<int> answers;

  void Add(const std::string& runner_id, Time now = kStart) {
    ends.Add(now, runner_id, {},
             [this](const ControlResponse& response) { answers.push_back(response.status); });
  }
  int Check(Time now) {
    return ends.Check(now, [this](const std::string& runner_id) { return known.contains(runner_id); });
  }
};

}  // namespace

TEST_CASE("an end that the core does not hold is not acknowledged") {
  Fixture fixture;
  fixture.Add("i-1");
  CHECK(fixture.Check(kStart) == 0);
  CHECK(fixture.answers.empty());
  fixture.known.insert("i-1");
  CHECK(fixture.Check(kStart + kMillisecond) == 0);
  CHECK(fixture.answers == std::vector{200});
  CHECK_FALSE(fixture.ends.NextTimer());
}

TEST_CASE("one that reaches no majority refuses within the time that runners wait") {
  Fixture fixture;
  fixture.Add("i-1");
  CHECK(fixture.ends.NextTimer() == kStart + kEndAcknowledgedWithin);
  CHECK(fixture.Check(kStart + kEndAcknowledgedWithin) == 1);
  CHECK(fixture.answers == std::vector{503});
}

TEST_CASE("a process that was frozen does not acknowledge late what it knew before") {
  Fixture fixture;
  fixture.Add("i-1");
  fixture.known.insert("i-1");
  CHECK(fixture.Check(kStart + 20 * kSecond) == 1);
  CHECK(fixture.answers == std::vector{503});
}

TEST_CASE("ends that wait are bounded") {
  Fixture fixture;
  for (std::size_t i = 0; i <= kMaxWaitingEnds; ++i) fixture.Add("i-" + std::to_string(i));
  CHECK(fixture.answers == std::vector{503});
}

}  // namespace lichenlug::node
