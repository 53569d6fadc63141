// A runner's drain is acknowledged once the core has recorded it, and refused after a timeout otherwise.
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

TEST_CASE("an end is not acknowledged until the core has recorded it") {
  Fixture fixture;
  fixture.Add("i-1");
  CHECK(fixture.Check(kStart) == 0);
  CHECK(fixture.answers.empty());
  fixture.known.insert("i-1");
  CHECK(fixture.Check(kStart + kMillisecond) == 0);
  CHECK(fixture.answers == std::vector{200});
  CHECK_FALSE(fixture.ends.NextTimer());
}

TEST_CASE("an end that reaches no majority is refused before runners time out") {
  Fixture fixture;
  fixture.Add("i-1");
  CHECK(fixture.ends.NextTimer() == kStart + kEndAcknowledgementTimeout);
  CHECK(fixture.Check(kStart + kEndAcknowledgementTimeout) == 1);
  CHECK(fixture.answers == std::vector{503});
}

TEST_CASE("a process that was frozen past the deadline refuses the end, even if it is known") {
  Fixture fixture;
  fixture.Add("i-1");
  fixture.known.insert("i-1");
  CHECK(fixture.Check(kStart + 20 * kSecond) == 1);
  CHECK(fixture.answers == std::vector{503});
}

TEST_CASE("the number of pending ends is bounded") {
  Fixture fixture;
  for (std::size_t i = 0; i <= kMaxPendingEnds; ++i) fixture.Add("i-" + std::to_string(i));
  CHECK(fixture.answers == std::vector{503});
}

}  // namespace lichenlug::node
