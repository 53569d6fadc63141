// Choice of the runner for a request, and the request's outcome.
#include "routing/decisions.h"

#include <catch2/catch.hpp>
#include <set>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

// Nine runners with 64 slots each: all hold m1, three hold m2, one holds m3, one holds m1/a1.
Testbed NineRunnerTestbed() {
  Testbed testbed;
  for (int i = 0; i < 9; ++i) {
    std::vector<std::string> models{"m1"};
    if (i % 3 == 0) models.push_back("m2");
    if (i == 4) models.push_back("m3");
    if (i == 5) models.push_back("m1/a1");
    testbed.AddRunner("r" + std::to_string(i), "pool", 64, models);
  }
  return testbed;
}

const Decisions::Demand* FindDemand(const std::vector<Decisions::Demand>& demand, const std::string& model,
                                    const std::string& adapter = "") {
  for (const Decisions::Demand& item : demand)
    if (item.model == model && item.adapter == adapter) return &item;
  return nullptr;
}

TEST_CASE("only runners that hold the model and adapter are used", "[decisions]") {
  TestDispatcher dispatcher(NineRunnerTestbed());
  std::set<std::string> used;
  for (int i = 0; i < 150; ++i) used.insert(dispatcher.SendRequest("m2"));
  CHECK(used == std::set<std::string>{"r0", "r3", "r6"});
  for (int i = 0; i < 40; ++i) REQUIRE(dispatcher.SendRequest("m3") == "r4");
  for (int i = 0; i < 40; ++i) REQUIRE(dispatcher.SendRequest("m1/a1") == "r5");
}

TEST_CASE("an attempt names the runner's address and the request's priority", "[decisions]") {
  Testbed testbed;
  testbed.AddRunner("only", "pool", 64, {"m1"}).set_address("10.0.0.9:1234");
  TestDispatcher dispatcher(testbed);
  Arrival arrival = MakeArrival(1, dispatcher.now, "m1");
  arrival.precedence = 1;
  const auto started = DecisionsOfType<StartAttempt>(dispatcher.Arrived(arrival));
  REQUIRE(started.size() == 1);
  CHECK(started[0].address == "10.0.0.9:1234");
  CHECK(started[0].runner_id == "only");
  CHECK(started[0].attempt == 0);
  CHECK(started[0].priority == 3);
}

TEST_CASE("a request that is already late has a lower priority than any that may be in time", "[decisions]") {
  Testbed testbed;
  testbed.AddRunner("only", "pool", 64, {"m1"});
  TestDispatcher dispatcher(testbed);
  Arrival late = MakeArrival(1, dispatcher.now, "m1");
  late.precedence = 0, late.came_back = true, late.late = true;
  Arrival least_urgent = MakeArrival(2, dispatcher.now, "m1");
  least_urgent.precedence = 1000;
  const auto first = DecisionsOfType<StartAttempt>(dispatcher.Arrived(late));
  const auto second = DecisionsOfType<StartAttempt>(dispatcher.Arrived(least_urgent));
  REQUIRE(first.size() == 1);
  REQUIRE(second.size() == 1);
  CHECK(first[0].priority > second[0].priority);
}

TEST_CASE("a draining runner gets no new requests, and its open ones continue", "[decisions]") {
  Testbed testbed = NineRunnerTestbed();
  TestDispatcher dispatcher(testbed);
  const std::string home = dispatcher.SendRequest("m2");
  testbed.Runner(home).set_state(messages::RUNNER_DRAINING);
  testbed.Runner(home).set_call_count(2);
  CHECK(dispatcher.Install(testbed).empty());
  for (int i = 0; i < 120; ++i) {
    const std::string runner = dispatcher.SendRequest("m2");
    REQUIRE(runner != home);
    REQUIRE_FALSE(runner.empty());
  }
}

TEST_CASE("the first request for a model goes to its home, the same at every dispatcher", "[decisions]") {
  const Testbed testbed = NineRunnerTestbed();
  std::set<std::string> homes;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TestDispatcher dispatcher(testbed, seed);
    const auto started =
        DecisionsOfType<StartAttempt>(dispatcher.Arrived(MakeArrival(1, dispatcher.now, "m1")));
    REQUIRE(started.size() == 1);
    homes.insert(started[0].runner_id);
    for (RequestNumber number = 2; number < 20; ++number) {  // sequential requests need no second runner
      dispatcher.CompleteFirstAttempt(number - 1);
      dispatcher.now += 300 * kMillisecond;
      homes.insert(
          DecisionsOfType<StartAttempt>(dispatcher.Arrived(MakeArrival(number, dispatcher.now, "m1")))[0]
              .runner_id);
    }
  }
  CHECK(homes.size() == 1);
}

TEST_CASE("a runner that joins or leaves moves few homes", "[decisions]") {
  Testbed testbed;
  for (int i = 0; i < 9; ++i) {
    std::vector<std::string> adapters{"m1"};
    for (int a = 0; a < 200; ++a) adapters.push_back("m1/a" + std::to_string(a));
    testbed.AddRunner("r" + std::to_string(i), "pool", 64, adapters);
  }
  const auto homes = [](const Testbed& modified) {
    TestDispatcher dispatcher(modified);
    std::vector<std::string> runners;
    for (int a = 0; a < 200; ++a) {
      runners.push_back(dispatcher.SendRequest("m1/a" + std::to_string(a)));
      dispatcher.CompleteFirstAttempt(dispatcher.next_request - 1);
    }
    return runners;
  };
  const auto before = homes(testbed);
  testbed.Remove("r3");
  const auto after = homes(testbed);
  for (std::size_t i = 0; i < before.size(); ++i)
    if (before[i] != "r3") CHECK(before[i] == after[i]);
  CHECK(std::set<std::string>(before.begin(), before.end()).size() == 9);
}

TEST_CASE("the worker set grows under load, and its least loaded member is chosen", "[decisions]") {
  TestDispatcher dispatcher(NineRunnerTestbed());
  std::map<std::string, int> requests_by_runner;
  for (int i = 0; i < 9 * 64; ++i) {
    const std::string runner = dispatcher.SendRequest("m1");
    REQUIRE_FALSE(runner.empty());
    ++requests_by_runner[runner];
    dispatcher.now += kMillisecond;
  }
  REQUIRE(requests_by_runner.size() == 9);
  for (const auto& [runner, count] : requests_by_runner) CHECK(count == 64);
  CHECK(dispatcher.SendRequest("m1").empty());  // all slots are in use
}

TEST_CASE("a request that finds no free slot waits for a fraction of its objective", "[decisions]") {
  Testbed testbed;
  testbed.AddRunner("only", "pool", 2, {"m1"});
  TestDispatcher dispatcher(testbed);
  dispatcher.SendRequest("m1"), dispatcher.SendRequest("m1");
  const Time arrival_time = dispatcher.now;
  REQUIRE(dispatcher.Arrived(MakeArrival(3, arrival_time, "m1")).empty());
  SECTION("it is sent once a slot is free") {
    dispatcher.Advance(20 * kMillisecond);
    const auto started = DecisionsOfType<StartAttempt>(dispatcher.CompleteFirstAttempt(1));
    REQUIRE(started.size() == 1);
    CHECK(started[0].request == 3);
  }
  SECTION("otherwise it is refused early enough for a retry") {
    const auto ends = dispatcher.Advance(100 * kMillisecond);
    REQUIRE(ends.size() == 1);
    const auto refused = DecisionsOfType<Refuse>(ends);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].request == 3);
    CHECK(refused[0].retry_after > 0);
    CHECK(refused[0].retry_after <= 4 * kSecond);
  }
  SECTION("it is dropped when its client disconnects") {
    CHECK(dispatcher.Gone(3).empty());
    CHECK(dispatcher.Advance(kSecond).empty());
  }
}

TEST_CASE("more urgent waiting requests are sent first", "[decisions]") {
  Testbed testbed;
  testbed.AddRunner("only", "pool", 1, {"m1"});
  TestDispatcher dispatcher(testbed);
  dispatcher.SendRequest("m1");
  Arrival less_urgent = MakeArrival(2, dispatcher.now, "m1"), urgent = MakeArrival(3, dispatcher.now, "m1");
  less_urgent.precedence = 2;
  REQUIRE(dispatcher.Arrived(less_urgent).empty());
  REQUIRE(dispatcher.Arrived(urgent).empty());
  dispatcher.Advance(10 * kMillisecond);
  const auto started = DecisionsOfType<StartAttempt>(dispatcher.CompleteFirstAttempt(1));
  REQUIRE(started.size() == 1);
  CHECK(started[0].request == 3);
}

TEST_CASE("a model that no ready runner holds is refused at once and counted", "[decisions]") {
  Testbed testbed = NineRunnerTestbed();
  TestDispatcher dispatcher(testbed);
  for (RequestNumber number = 1; number <= 20; ++number) {
    const auto refused =
        DecisionsOfType<Refuse>(dispatcher.Arrived(MakeArrival(number, dispatcher.now, "unloaded")));
    REQUIRE(refused.size() == 1);
    // The load counts as begun at the first request.
    const Time elapsed = static_cast<Time>(number - 1) * 50 * kMillisecond;
    CHECK(refused[0].retry_after == 2500 * kMillisecond - elapsed);
    dispatcher.now += 50 * kMillisecond;
  }
  Arrival hasty = MakeArrival(21, dispatcher.now, "unloaded");
  hasty.deadline = dispatcher.now + 1500 * kMillisecond;
  const auto refused = DecisionsOfType<Refuse>(dispatcher.Arrived(hasty));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].retry_after == 500 * kMillisecond);  // a third of the remaining time

  const auto recent = dispatcher.decisions.RecentDemand(dispatcher.now);
  const Decisions::Demand* demand = FindDemand(recent, "unloaded");
  REQUIRE(demand != nullptr);
  CHECK(demand->service == "pool");
  CHECK(demand->unserved > 10);
  CHECK(demand->arrivals_per_s > 4);
  CHECK(demand->running == 0);
  CHECK(FindDemand(dispatcher.decisions.RecentDemand(dispatcher.now + 11 * kSecond), "unloaded") == nullptr);

  testbed.Runner("r2").add_models()->set_name("unloaded");
  testbed.Runner("r2").set_call_count(2);
  dispatcher.Install(testbed);
  CHECK(dispatcher.SendRequest("unloaded") == "r2");
}

TEST_CASE("a request for an adapter that is not loaded is refused with a short retry time", "[decisions]") {
  TestDispatcher dispatcher(NineRunnerTestbed());
  const auto refused = DecisionsOfType<Refuse>(dispatcher.Arrived(MakeArrival(1, dispatcher.now, "m2/a3")));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].retry_after == 300 * kMillisecond);
  const auto recent = dispatcher.decisions.RecentDemand(dispatcher.now);
  REQUIRE(FindDemand(recent, "m2", "a3") != nullptr);
  CHECK(FindDemand(recent, "m2", "a3")->unserved == Approx(1));
}

TEST_CASE("a request for a model that is not configured is refused and not counted", "[decisions]") {
  TestDispatcher dispatcher(NineRunnerTestbed());
  CHECK(DecisionsOfType<Refuse>(dispatcher.Arrived(MakeArrival(1, dispatcher.now, "nobody's"))).size() == 1);
  CHECK(dispatcher.decisions.RecentDemand(dispatcher.now).empty());
}

TEST_CASE("demand includes the number of running requests", "[decisions]") {
  TestDispatcher dispatcher(NineRunnerTestbed());
  for (int i = 0; i < 5; ++i) dispatcher.SendRequest("m1");
  dispatcher.SendRequest("m3");
  dispatcher.CompleteFirstAttempt(1);
  auto recent = dispatcher.decisions.RecentDemand(dispatcher.now);
  CHECK(FindDemand(recent, "m1")->running == 4);
  CHECK(FindDemand(recent, "m3")->running == 1);
  CHECK(FindDemand(recent, "m3")->unserved == 0);
  dispatcher.Gone(6);
  recent = dispatcher.decisions.RecentDemand(dispatcher.now);
  CHECK(FindDemand(recent, "m3")->running == 0);
}

TEST_CASE("a service without an engine is served by any of its runners", "[decisions]") {
  Testbed testbed;
  for (const char* id : {"d1", "d2", "d3"}) testbed.AddRunner(id, "desk", 6, {});
  TestDispatcher dispatcher(testbed);
  std::map<std::string, int> requests_by_runner;
  for (int i = 0; i < 18; ++i) ++requests_by_runner[dispatcher.SendRequest("")];
  CHECK(requests_by_runner == std::map<std::string, int>{{"d1", 6}, {"d2", 6}, {"d3", 6}});
  CHECK(dispatcher.decisions.RecentDemand(dispatcher.now).empty());
}

TEST_CASE("runners of the dispatcher's zone are preferred, and others take the overflow", "[decisions]") {
  Testbed testbed;
  for (int i = 0; i < 6; ++i)
    testbed.AddRunner("r" + std::to_string(i), "pool", 8, {"m1"}).set_zone(i < 3 ? "here" : "there");
  testbed.zone = "here";
  TestDispatcher dispatcher(testbed);
  const std::set<std::string> own{"r0", "r1", "r2"};
  for (int i = 0; i < 24; ++i) REQUIRE(own.contains(dispatcher.SendRequest("m1")));
  for (int i = 0; i < 24; ++i) {
    const std::string runner = dispatcher.SendRequest("m1");
    REQUIRE_FALSE(runner.empty());
    REQUIRE_FALSE(own.contains(runner));
  }
}

TEST_CASE("a request for an unknown service is refused", "[decisions]") {
  TestDispatcher dispatcher(NineRunnerTestbed());
  Arrival arrival = MakeArrival(1, dispatcher.now, "m1");
  arrival.service = "nowhere";
  CHECK(DecisionsOfType<Refuse>(dispatcher.Arrived(arrival)).size() == 1);
  CHECK(dispatcher.decisions.NextTimer() == std::nullopt);
}

TEST_CASE("services are added and removed with the configuration", "[decisions]") {
  Testbed testbed = NineRunnerTestbed();
  TestDispatcher dispatcher(testbed);
  const std::string home = dispatcher.SendRequest("m1");
  Testbed emptied = testbed;
  emptied.configuration() = messages::Configuration();
  Testbed without_services = NineRunnerTestbed();
  without_services.configuration().clear_services();
  dispatcher.Install(without_services);
  CHECK(dispatcher.SendRequest("m1").empty());
  // The request of the removed service is still open and ends normally.
  CHECK(dispatcher.CompleteFirstAttempt(1).empty());
  dispatcher.Install(without_services);
  dispatcher.Install(NineRunnerTestbed());
  CHECK(dispatcher.SendRequest("m1") == home);
}

TEST_CASE("classes are added as requests differ, and their number is bounded", "[decisions]") {
  Testbed testbed;
  testbed.AddRunner("only", "pool", 5000, {"m1"});
  TestDispatcher dispatcher(testbed);
  for (RequestNumber number = 1; number <= 500; ++number) {
    Arrival arrival = MakeArrival(number, dispatcher.now, "m1");
    arrival.objective = static_cast<Time>(number) * kMillisecond;
    arrival.precedence = static_cast<int>(number % 50);
    arrival.repeatable = number % 2 == 0;
    const auto started = DecisionsOfType<StartAttempt>(dispatcher.Arrived(arrival));
    REQUIRE(started.size() == 1);
    if (number % 3 == 0) dispatcher.Ended(started[0], AttemptOutcome::kServed, true);
  }
}

}  // namespace
}  // namespace lichenlug::routing
