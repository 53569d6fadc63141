// Usage reports: merged idempotently, chosen once, and sent unchanged until acknowledged.
#include "duties/usage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "usage_reports.h"

namespace lichenlug::duties {
namespace {

// A duty, the state of its register, and a platform with a configurable answer.
struct Testbed {
  UsageDuty duty{UsageDuty::Settings{kWindow, kLate}};
  messages::OwnershipState state;
  Time now = 77 * kSecond;
  Time wall = kStart;
  int platform_status = 200;
  std::vector<HttpCall> calls;
  std::vector<messages::WindowCount> chosen;

  void Step(std::uint64_t epoch, bool answers = true) {
    UsageDuty::Output output;
    duty.Act(now, wall, epoch, state, &output);
    for (const auto& tally : output.choose) {
      chosen.push_back(tally);
      *state.add_tallies() = tally;
    }
    for (const HttpCall& call : output.calls) {
      calls.push_back(call);
      UsageDuty::Output more;
      if (answers) duty.Completed(now, call.tag, {platform_status, ""}, &more);
    }
    now += 50 * kMillisecond;
    wall += 50 * kMillisecond;
  }
  void RunFor(Time span, std::uint64_t epoch, bool answers = true) {
    for (const Time until = now + span; now < until;) Step(epoch, answers);
  }
};

}  // namespace

TEST_CASE("merging usage reports is independent of order and repetition") {
  std::mt19937_64 random(1);
  for (int round = 0; round < 300; ++round) {
    std::vector<messages::UsageReport> reports;
    CountByTenant truth;
    for (int life = 0; life < 4; ++life) {
      CountByTenant counts;
      for (int repetition = 0; repetition < 3; ++repetition) {  // cumulative
        counts["a"] += random() % 5;
        counts["b"] += random() % 5;
        reports.push_back(MakeReport("dispatcher-" + std::to_string(life / 2), life, kFirst, counts));
      }
      for (const auto& [tenant, count] : counts) truth[tenant] += count;
    }
    std::erase_if(truth, [](const auto& entry) { return entry.second == 0; });
    Testbed testbed;
    for (int copy = 0; copy < 2; ++copy) {
      std::shuffle(reports.begin(), reports.end(), random);
      for (const auto& report : reports) testbed.duty.Merge(kStart, report);
    }
    UsageDuty other{UsageDuty::Settings{kWindow, kLate}};  // receives the reports of the first one only
    for (const auto& report : testbed.duty.Reports()) other.Merge(kStart, report);
    UsageDuty::Output output;
    other.Act(testbed.now, kStart + kWindow + kLate / 2, 1, {}, &output);
    REQUIRE(output.choose.size() == 1);
    REQUIRE(CountsOf(output.choose[0]) == truth);
  }
}

TEST_CASE("a window is chosen and reported between two and three fifths of the allowed time") {
  Testbed testbed;
  testbed.duty.Merge(kStart, MakeReport("d", 1, kFirst, {{"t2", 7}, {"t1", 3}, {"none", 0}}));
  testbed.RunFor(kWindow + kLate * 2 / 5, 4);
  CHECK(testbed.chosen.empty());
  testbed.RunFor(kLate / 5, 4);
  REQUIRE(testbed.chosen.size() == 1);
  REQUIRE(testbed.calls.size() == 1);
  const HttpCall& call = testbed.calls[0];
  CHECK(call.method == "POST");
  CHECK(call.path == "/usage");
  CHECK(call.address.empty());
  CHECK(call.fence == 4);
  const auto body = nlohmann::json::parse(call.body);
  CHECK(body == nlohmann::json{{"window_no", kFirst}, {"tallies", {{"t1", 3}, {"t2", 7}}}});
}

TEST_CASE("every window, including empty ones, is reported once and in order") {
  Testbed testbed;
  testbed.duty.Merge(kStart, MakeReport("d", 1, kFirst, {{"t", 1}}));
  testbed.duty.Merge(kStart + 4 * kWindow, MakeReport("d", 1, kFirst + 4, {{"t", 2}}));
  testbed.RunFor(100 * kSecond, 1);
  REQUIRE(testbed.calls.size() >= 18);
  for (std::size_t i = 0; i < testbed.calls.size(); ++i)
    CHECK(WindowIn(testbed.calls[i]) == kFirst + static_cast<std::int64_t>(i));
  CHECK(nlohmann::json::parse(testbed.calls[1].body)["tallies"] == nlohmann::json::object());
}

TEST_CASE("a chosen tally is sent unchanged with backoff until it is acknowledged") {
  Testbed testbed;
  testbed.duty.Merge(kStart, MakeReport("d", 1, kFirst, {{"t", 5}}));
  testbed.platform_status = GENERATE(0, 429, 500, 503);
  const bool answers = testbed.platform_status != 0;  // otherwise the call never completes
  testbed.RunFor(kWindow + kLate * 9 / 20, 1, answers);
  testbed.duty.Merge(testbed.wall, MakeReport("d", 1, kFirst, {{"t", 6}}));  // too late to be counted
  testbed.RunFor(8 * kSecond, 1, answers);
  std::size_t repeats = 0;
  for (const HttpCall& call : testbed.calls) {
    if (WindowIn(call) != kFirst) continue;
    ++repeats;
    CHECK(call.body == testbed.calls[0].body);
  }
  CHECK(repeats >= 3);
  CHECK(repeats <= 8);                   // the backoff doubles up to 2 s
  CHECK(testbed.calls.size() <= 4 * 9);  // at most a few calls per second
  CHECK(nlohmann::json::parse(testbed.calls[0].body)["tallies"]["t"] == 5);

  testbed.platform_status = 200;
  testbed.RunFor(5 * kSecond, 1);
  const auto calls_before = testbed.calls.size();
  testbed.RunFor(kWindow, 1);
  CHECK(testbed.calls.size() <= calls_before + 2);  // the windows that fell due meanwhile
}

TEST_CASE("a window is dropped after four times the allowed time") {
  Testbed testbed;
  testbed.platform_status = 503;
  testbed.RunFor(200 * kSecond, 1);
  for (const HttpCall& call : testbed.calls) REQUIRE_FALSE(call.body.empty());
  std::set<std::int64_t> late_calls;
  testbed.calls.clear();
  testbed.RunFor(5 * kSecond, 1);
  for (const HttpCall& call : testbed.calls) late_calls.insert(WindowIn(call));
  for (const std::int64_t window : late_calls)
    CHECK(testbed.wall <= (window + 1) * kWindow + 4 * kLate + 5 * kSecond);
}

TEST_CASE("a holder that the platform refuses because of a higher fence stops until it has a newer epoch") {
  Testbed testbed;
  testbed.RunFor(kWindow + kLate * 9 / 20, 1);
  REQUIRE(testbed.calls.size() == 1);
  testbed.platform_status = 409;
  testbed.RunFor(20 * kSecond, 1);
  CHECK(testbed.calls.size() == 2);
  const auto chosen = testbed.chosen.size();
  testbed.platform_status = 200;
  testbed.RunFor(20 * kSecond, 1);
  CHECK(testbed.calls.size() == 2);
  CHECK(testbed.chosen.size() == chosen);
  testbed.RunFor(20 * kSecond, 3);
  CHECK(testbed.calls.size() > 4);
  CHECK(testbed.calls.back().fence == 3);
}

TEST_CASE("a new holder resends the chosen windows that are not late unchanged, and continues from there") {
  Testbed testbed;
  testbed.duty.Merge(kStart, MakeReport("d", 1, kFirst, {{"t", 5}}));
  testbed.RunFor(60 * kSecond, 1);
  Testbed next;
  next.state = testbed.state;
  next.now = 5 * kSecond;  // another machine's clock
  next.wall = testbed.wall;
  next.duty.Merge(next.wall, MakeReport("d", 1, kFirst, {{"t", 9}}));
  const std::int64_t newest = next.state.tallies().rbegin()->window();
  next.RunFor(20 * kSecond, 2);
  std::map<std::int64_t, std::string> bodies;
  for (const HttpCall& call : testbed.calls) bodies[WindowIn(call)] = call.body;
  REQUIRE(next.calls.size() >= 4);
  for (const HttpCall& call : next.calls) {
    const std::int64_t window = WindowIn(call);
    CHECK((window + 1) * kWindow + kLate >= testbed.wall);
    if (window <= newest) CHECK(call.body == bodies.at(window));
    CHECK(call.fence == 2);
  }
  REQUIRE(next.chosen.size() >= 3);
  CHECK(next.chosen[0].window() == newest + 1);
}

TEST_CASE("after a long pause a holder skips windows that are far too late") {
  Testbed testbed;
  testbed.RunFor(30 * kSecond, 1);
  testbed.wall += 1000 * kSecond;
  testbed.now += 1000 * kSecond;
  const auto before = testbed.chosen.size();
  testbed.Step(1);
  REQUIRE(testbed.chosen.size() > before);
  CHECK((testbed.chosen[before].window() + 1) * kWindow + 4 * kLate >= testbed.wall - kWindow);
  CHECK(testbed.chosen.size() <= before + 8);
}

TEST_CASE("counts are bounded: old windows, future windows, and dispatchers") {
  Testbed testbed;
  for (std::uint64_t life = 0; life < 9000; ++life)
    testbed.duty.Merge(kStart, MakeReport("d" + std::to_string(life), 1, kFirst, {{"t", 1}}));
  CHECK(testbed.duty.Reports().size() == 8192);
  testbed.duty.Merge(kStart + 100 * kWindow, MakeReport("new", 1, kFirst + 100, {{"t", 1}}));
  CHECK(testbed.duty.Reports().size() == 1);
  testbed.duty.Merge(kStart + 100 * kWindow, MakeReport("new", 1, kFirst + 80, {{"t", 1}}));
  testbed.duty.Merge(kStart + 100 * kWindow, MakeReport("new", 1, kFirst + 120, {{"t", 1}}));
  CHECK(testbed.duty.Reports()[0].windows_size() == 1);
}

}  // namespace lichenlug::duties
