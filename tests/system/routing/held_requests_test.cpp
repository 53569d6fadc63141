// Requests for a model or adapter that no ready runner holds: they are held if its load is likely to end in
// time, else refused with the estimated time until the load ends.
#include <catch2/catch.hpp>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

Testbed OneRunnerTestbed() {
  Testbed testbed;
  testbed.AddRunner("r1", "pool", 64, {"m1"});
  return testbed;
}

void LoadAdapter(Testbed* testbed, TestDispatcher* dispatcher, const std::string& adapter,
                 std::vector<Decision>* decisions) {
  messages::RunnerRecord& runner = testbed->Runner("r1");
  runner.mutable_models(0)->add_adapters(adapter);
  runner.set_call_count(runner.call_count() + 1);
  *decisions = dispatcher->Install(*testbed);
}

// A request whose objective leaves time for a load.
Arrival MakeArrivalWithLongObjective(RequestNumber number, Time now, const std::string& model) {
  Arrival arrival = MakeArrival(number, now, model);
  arrival.objective = 4 * kSecond;
  arrival.deadline = now + 20 * kSecond;
  return arrival;
}

TEST_CASE("a request whose objective leaves time for the load is held until a runner holds the adapter",
          "[held]") {
  Testbed testbed = OneRunnerTestbed();
  TestDispatcher dispatcher(testbed);
  REQUIRE(dispatcher.Arrived(MakeArrivalWithLongObjective(1, dispatcher.now, "m1/a1")).empty());
  REQUIRE(dispatcher.Advance(1200 * kMillisecond).empty());
  CHECK(dispatcher.decisions.RecentDemand(dispatcher.now)[0].unserved > 0);
  std::vector<Decision> decisions;
  LoadAdapter(&testbed, &dispatcher, "a1", &decisions);
  const auto started = DecisionsOfType<StartAttempt>(decisions);
  REQUIRE(started.size() == 1);
  CHECK(started[0].request == 1);
  CHECK(started[0].runner_id == "r1");
}

TEST_CASE("a held request whose load does not end is refused within its objective", "[held]") {
  TestDispatcher dispatcher(OneRunnerTestbed());
  REQUIRE(dispatcher.Arrived(MakeArrivalWithLongObjective(1, dispatcher.now, "m1/a1")).empty());
  REQUIRE(dispatcher.Advance(3500 * kMillisecond).empty());
  const auto end = dispatcher.Advance(200 * kMillisecond);
  REQUIRE(end.size() == 1);
  REQUIRE(DecisionsOfType<Refuse>(end).size() == 1);
  CHECK(DecisionsOfType<Refuse>(end)[0].retry_after > 0);
  CHECK(dispatcher.decisions.NextTimer() == std::nullopt);
}

TEST_CASE("a request is not held for a load that takes longer than its objective", "[held]") {
  TestDispatcher dispatcher(OneRunnerTestbed());
  Arrival arrival =
      MakeArrivalWithLongObjective(1, dispatcher.now, "unloaded");  // loads in 2 s, plus the order's overhead
  arrival.objective = 2600 * kMillisecond;
  CHECK(DecisionsOfType<Refuse>(dispatcher.Arrived(arrival)).size() == 1);
  arrival.request = 2;
  arrival.objective = 3 * kSecond;
  CHECK(dispatcher.Arrived(arrival).empty());
}

TEST_CASE("the request of a retrying client is held for a late answer, with time left for the run",
          "[held]") {
  Testbed testbed = OneRunnerTestbed();
  TestDispatcher dispatcher(testbed);
  Arrival arrival = MakeArrival(1, dispatcher.now, "m1/a1");
  arrival.came_back = true;
  arrival.deadline = dispatcher.now + 5 * kSecond;
  REQUIRE(dispatcher.Arrived(arrival).empty());
  SECTION("dispatched once the adapter is loaded") {
    REQUIRE(dispatcher.Advance(1900 * kMillisecond).empty());
    std::vector<Decision> decisions;
    LoadAdapter(&testbed, &dispatcher, "a1", &decisions);
    CHECK(DecisionsOfType<StartAttempt>(decisions).size() == 1);
  }
  SECTION("refused before half of its time has passed") {
    CHECK(DecisionsOfType<Refuse>(dispatcher.Advance(2100 * kMillisecond)).size() == 1);
  }
  SECTION("dropped when its client disconnects") {
    CHECK(dispatcher.Gone(1).empty());
    CHECK(dispatcher.decisions.NextTimer() == std::nullopt);
  }
}

TEST_CASE("a retrying client's request for a model that is not configured is refused at once", "[held]") {
  TestDispatcher dispatcher(OneRunnerTestbed());
  Arrival arrival = MakeArrival(1, dispatcher.now, "nobody's");
  arrival.came_back = true;
  CHECK(DecisionsOfType<Refuse>(dispatcher.Arrived(arrival)).size() == 1);
}

TEST_CASE("the retry time is learned from earlier loads", "[held]") {
  Testbed testbed = OneRunnerTestbed();
  TestDispatcher dispatcher(testbed);
  for (int i = 0; i < 20; ++i) {
    const std::string adapter = "a" + std::to_string(i);
    REQUIRE(DecisionsOfType<Refuse>(
                dispatcher.Arrived(MakeArrival(dispatcher.next_request++, dispatcher.now, "m1/" + adapter)))
                .size() == 1);
    dispatcher.now += kSecond;
    std::vector<Decision> decisions;
    LoadAdapter(&testbed, &dispatcher, adapter, &decisions);
  }
  const auto refused = DecisionsOfType<Refuse>(
      dispatcher.Arrived(MakeArrival(dispatcher.next_request++, dispatcher.now, "m1/late")));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].retry_after > kSecond);
  CHECK(refused[0].retry_after < 1500 * kMillisecond);
  // A later request has less time to wait.
  dispatcher.now += 500 * kMillisecond;
  const auto later = DecisionsOfType<Refuse>(
      dispatcher.Arrived(MakeArrival(dispatcher.next_request++, dispatcher.now, "m1/late")));
  REQUIRE(later.size() == 1);
  CHECK(later[0].retry_after == refused[0].retry_after - 500 * kMillisecond);
}

TEST_CASE("part of the retry budget is reserved for retrying clients and requests that may have run",
          "[held]") {
  Testbed testbed;
  for (int i = 0; i < 100; ++i) testbed.AddRunner("r" + std::to_string(i), "pool", 64, {"m1"});
  testbed.bounds.retry_ratio = 0;
  testbed.bounds.retry_slack = 50;  // of which 40 may be spent
  // The number of requests that get a second attempt.
  const auto second_attempts = [&](bool came_back, AttemptOutcome outcome) {
    TestDispatcher dispatcher(testbed);
    int count = 0;
    for (int i = 0; i < 60; ++i) {
      Arrival arrival = MakeArrival(dispatcher.next_request++, dispatcher.now, "m1");
      arrival.came_back = came_back;
      const auto first = DecisionsOfType<StartAttempt>(dispatcher.Arrived(arrival));
      REQUIRE(first.size() == 1);
      const auto second = DecisionsOfType<StartAttempt>(dispatcher.Ended(first[0], outcome));
      for (const StartAttempt& attempt : second) dispatcher.Ended(attempt, AttemptOutcome::kServed);
      count += static_cast<int>(second.size());
    }
    return count;
  };
  CHECK(second_attempts(false, AttemptOutcome::kModelMissing) == 24);
  CHECK(second_attempts(true, AttemptOutcome::kModelMissing) == 40);
  CHECK(second_attempts(false, AttemptOutcome::kBroken) == 40);
}

TEST_CASE("a newly missing model or adapter is reported once", "[held]") {
  TestDispatcher dispatcher(OneRunnerTestbed());
  CHECK_FALSE(dispatcher.decisions.TakeNewlyUnserved());
  dispatcher.Arrived(MakeArrival(1, dispatcher.now, "m1/a1"));
  CHECK(dispatcher.decisions.TakeNewlyUnserved());
  dispatcher.Arrived(MakeArrival(2, dispatcher.now, "m1/a1"));
  CHECK_FALSE(dispatcher.decisions.TakeNewlyUnserved());
  dispatcher.Arrived(MakeArrival(3, dispatcher.now, "m1/a2"));
  CHECK(dispatcher.decisions.TakeNewlyUnserved());
  dispatcher.Arrived(MakeArrival(4, dispatcher.now, "m1"));
  CHECK_FALSE(dispatcher.decisions.TakeNewlyUnserved());
}

TEST_CASE("right after a start a request waits for heartbeats of runners and is no unserved demand",
          "[held]") {
  Testbed testbed;
  testbed.runners_known = false;
  TestDispatcher dispatcher(testbed);
  Arrival arrival = MakeArrival(1, dispatcher.now, "m1");
  REQUIRE(dispatcher.Arrived(arrival).empty());
  for (const auto& demand : dispatcher.decisions.RecentDemand(dispatcher.now)) CHECK(demand.unserved == 0);
  testbed.AddRunner("r1", "pool", 64, {"m1"});
  const auto started = DecisionsOfType<StartAttempt>(dispatcher.Install(testbed));
  REQUIRE(started.size() == 1);
  CHECK(started[0].runner_id == "r1");
}

TEST_CASE("a request that waits in vain for heartbeats of runners is refused in time for a retry", "[held]") {
  Testbed testbed;
  testbed.runners_known = false;
  TestDispatcher dispatcher(testbed);
  Arrival arrival = MakeArrival(1, dispatcher.now, "m1");
  arrival.deadline = dispatcher.now + 2 * kSecond;
  REQUIRE(dispatcher.Arrived(arrival).empty());
  CHECK(DecisionsOfType<Refuse>(dispatcher.Advance(700 * kMillisecond)).empty());
  CHECK(DecisionsOfType<Refuse>(dispatcher.Advance(200 * kMillisecond)).size() == 1);
}

}  // namespace
}  // namespace lichenlug::routing
