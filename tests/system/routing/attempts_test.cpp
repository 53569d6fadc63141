// Handling of attempts that end without an answer: retry at another runner, refusal or failure.
#include <catch2/catch.hpp>
#include <set>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

Testbed TestbedWithRunners(int count) {
  Testbed testbed;
  testbed.bounds.retry_budget = false;
  for (int i = 0; i < count; ++i) testbed.AddRunner("r" + std::to_string(i), "pool", 64, {"m1"});
  return testbed;
}

StartAttempt StartRequest(TestDispatcher* dispatcher, bool repeatable, int tries = 2) {
  Arrival arrival = MakeArrival(dispatcher->next_request++, dispatcher->now, "m1");
  arrival.repeatable = repeatable;
  arrival.tries = tries;
  const auto started = DecisionsOfType<StartAttempt>(dispatcher->Arrived(arrival));
  REQUIRE(started.size() == 1);
  return started[0];
}

TEST_CASE("a request that has not run goes to another runner", "[attempts]") {
  for (AttemptOutcome outcome : {AttemptOutcome::kNotRun, AttemptOutcome::kModelMissing,
                                 AttemptOutcome::kWrongRunner, AttemptOutcome::kConnectFailed}) {
    TestDispatcher fresh(TestbedWithRunners(3));
    const StartAttempt first = StartRequest(&fresh, false);
    const auto second = DecisionsOfType<StartAttempt>(fresh.Ended(first, outcome));
    REQUIRE(second.size() == 1);
    CHECK(second[0].attempt == 1);
    CHECK(second[0].runner_id != first.runner_id);
    // `tries` is the maximum number of runners that the request may reach.
    auto end = fresh.Ended(second[0], outcome);
    if (outcome == AttemptOutcome::kConnectFailed) {
      const auto third = DecisionsOfType<StartAttempt>(end);
      REQUIRE(third.size() == 1);
      end = fresh.Ended(third[0], AttemptOutcome::kNotRun);
    }
    REQUIRE(end.size() == 1);
    CHECK(DecisionsOfType<Refuse>(end).size() == 1);
  }
}

// Guards against a 503 after the only try had met a runner that was gone, although others were ready.
TEST_CASE("a failed connection uses up no try while a refusal would still be early", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(5));
  std::vector<Decision> end;
  const auto fail = [&](const StartAttempt& attempt) {
    return end = dispatcher.Ended(attempt, AttemptOutcome::kConnectFailed);
  };
  StartAttempt attempt = StartRequest(&dispatcher, false, 1);
  SECTION("two times") {
    for (int failed = 0; failed < 2; ++failed) {
      const auto next = DecisionsOfType<StartAttempt>(fail(attempt));
      REQUIRE(next.size() == 1);
      CHECK(next[0].runner_id != attempt.runner_id);
      attempt = next[0];
    }
    fail(attempt);
  }
  SECTION("but it does after a quarter of the objective") {
    dispatcher.now += 76 * kMillisecond;
    fail(attempt);
  }
  REQUIRE(end.size() == 1);
  CHECK(DecisionsOfType<Refuse>(end).size() == 1);
}

TEST_CASE("a request is refused at once if the only runner of its model can't be connected to",
          "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(1));
  const auto end = dispatcher.Ended(StartRequest(&dispatcher, true, 1), AttemptOutcome::kConnectFailed);
  REQUIRE(end.size() == 1);
  CHECK(DecisionsOfType<Refuse>(end).size() == 1);
}

// Guards against a cut of a resumable stream whose second attempt met a runner that was gone.
TEST_CASE("a broken stream is resumed at a third runner if the second can't be connected to", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const StartAttempt first = StartRequest(&dispatcher, true);
  dispatcher.decisions.FirstEvent(dispatcher.now, first.request, 0);
  dispatcher.now += kSecond;
  const auto second = DecisionsOfType<StartAttempt>(dispatcher.Ended(first, AttemptOutcome::kBroken));
  REQUIRE(second.size() == 1);
  const auto third =
      DecisionsOfType<StartAttempt>(dispatcher.Ended(second[0], AttemptOutcome::kConnectFailed));
  REQUIRE(third.size() == 1);
  CHECK(third[0].runner_id != first.runner_id);
  // The tries are used up: it has reached two runners.
  CHECK(DecisionsOfType<Fail>(dispatcher.Ended(third[0], AttemptOutcome::kBroken)).size() == 1);
}

TEST_CASE("a request with a single try is refused if it has not run", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const auto end = dispatcher.Ended(StartRequest(&dispatcher, true, 1), AttemptOutcome::kNotRun);
  REQUIRE(end.size() == 1);
  CHECK(DecisionsOfType<Refuse>(end).size() == 1);
}

TEST_CASE("a request that may have run is retried only if it is repeatable", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const auto failed = dispatcher.Ended(StartRequest(&dispatcher, false), AttemptOutcome::kBroken);
  REQUIRE(failed.size() == 1);
  CHECK(DecisionsOfType<Fail>(failed).size() == 1);
  const StartAttempt first = StartRequest(&dispatcher, true);
  const auto second = DecisionsOfType<StartAttempt>(dispatcher.Ended(first, AttemptOutcome::kBroken));
  REQUIRE(second.size() == 1);
  CHECK(second[0].runner_id != first.runner_id);
  // It did not run at the second runner but may have run at the first, so it must fail and not be refused.
  CHECK(DecisionsOfType<Fail>(dispatcher.Ended(second[0], AttemptOutcome::kNotRun)).size() == 1);
}

TEST_CASE("a broken stream is resumed at another runner", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const StartAttempt first = StartRequest(&dispatcher, true);
  dispatcher.decisions.FirstEvent(dispatcher.now, first.request, 0);
  dispatcher.now += kSecond;
  CHECK(DecisionsOfType<StartAttempt>(dispatcher.Ended(first, AttemptOutcome::kBroken)).size() == 1);
}

TEST_CASE("a broken stream that no runner can resume fails by its deadline", "[attempts]") {
  Testbed testbed = TestbedWithRunners(2);
  TestDispatcher dispatcher(testbed);
  const StartAttempt first = StartRequest(&dispatcher, true);
  dispatcher.decisions.FirstEvent(dispatcher.now, first.request, 0);
  testbed.Runner("r0").set_state(messages::RUNNER_DRAINING);
  testbed.Runner("r1").set_state(messages::RUNNER_DRAINING);
  dispatcher.Install(testbed);
  auto end = dispatcher.Ended(first, AttemptOutcome::kBroken);
  for (const Decision& decision : dispatcher.Advance(13 * kSecond)) end.push_back(decision);
  REQUIRE(end.size() == 1);
  CHECK(DecisionsOfType<Fail>(end).size() == 1);
}

TEST_CASE("a timeout fails the request, and a final outcome needs no decision", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const auto failed = dispatcher.Ended(StartRequest(&dispatcher, true), AttemptOutcome::kTimeout);
  REQUIRE(failed.size() == 1);
  CHECK(DecisionsOfType<Fail>(failed).size() == 1);
  for (AttemptOutcome outcome : {AttemptOutcome::kServed, AttemptOutcome::kBroken, AttemptOutcome::kTimeout,
                                 AttemptOutcome::kNotRun, AttemptOutcome::kCancelled}) {
    TestDispatcher fresh(TestbedWithRunners(3));
    CHECK(fresh.Ended(StartRequest(&fresh, true), outcome, true).empty());
    CHECK(fresh.decisions.NextTimer() == std::nullopt);  // no request is held
  }
}

TEST_CASE("a runner that lacks the model is not used for it until a newer record or a short time later",
          "[attempts]") {
  Testbed testbed = TestbedWithRunners(2);
  TestDispatcher dispatcher(testbed);
  const StartAttempt first = StartRequest(&dispatcher, true);
  REQUIRE(DecisionsOfType<StartAttempt>(dispatcher.Ended(first, AttemptOutcome::kModelMissing)).size() == 1);
  dispatcher.Install(testbed);  // the same record again
  for (int i = 0; i < 40; ++i) REQUIRE(dispatcher.SendRequest("m1") != first.runner_id);
  SECTION("until a newer record") {
    testbed.Runner(first.runner_id).set_call_count(2);
    dispatcher.Install(testbed);
  }
  SECTION("until the time is over") { dispatcher.Advance(1600 * kMillisecond); }
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) used.insert(dispatcher.SendRequest("m1"));
  CHECK(used.contains(first.runner_id));
}

TEST_CASE("a nearly idle runner that rejects a model is not used for it while another runner holds it",
          "[attempts]") {
  Testbed testbed = TestbedWithRunners(2);
  for (const char* id : {"r0", "r1"}) testbed.Runner(id).add_models()->set_name("m2");
  TestDispatcher dispatcher(testbed);
  const StartAttempt first = StartRequest(&dispatcher, true);
  REQUIRE(DecisionsOfType<StartAttempt>(dispatcher.Ended(first, AttemptOutcome::kNotRun)).size() == 1);
  // The order may still be under way when the runner next reports what it holds.
  testbed.Runner(first.runner_id).set_call_count(2);
  dispatcher.Install(testbed);
  const auto used = [&](const std::string& model) {
    std::set<std::string> runners;
    for (int i = 0; i < 40; ++i) runners.insert(dispatcher.SendRequest(model));
    return runners;
  };
  REQUIRE_FALSE(used("m1").contains(first.runner_id));
  CHECK(used("m2").contains(first.runner_id));
  SECTION("until it has reported the model missing and then held again") {
    messages::RunnerRecord& runner = testbed.Runner(first.runner_id);
    const auto models = runner.models();
    runner.clear_models();
    runner.set_call_count(3);
    dispatcher.Install(testbed);
    *runner.mutable_models() = models;
    runner.set_call_count(4);
    dispatcher.Install(testbed);
  }
  SECTION("until the time is over") { dispatcher.Advance(2100 * kMillisecond); }
  CHECK(used("m1").contains(first.runner_id));
}

TEST_CASE("the only holder of a model is used again after a rejection", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(1));
  const StartAttempt first = StartRequest(&dispatcher, true);
  REQUIRE(dispatcher.Ended(first, AttemptOutcome::kNotRun).empty());
  REQUIRE(DecisionsOfType<Refuse>(dispatcher.Advance(100 * kMillisecond)).size() == 1);
  CHECK(dispatcher.SendRequest("m1") == first.runner_id);
}

TEST_CASE("unserved demand is counted when the last holder turns out not to have the model", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(1));
  const auto refused = DecisionsOfType<Refuse>(
      dispatcher.Ended(StartRequest(&dispatcher, true), AttemptOutcome::kModelMissing));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].retry_after == 2500 * kMillisecond);
  CHECK(dispatcher.decisions.RecentDemand(dispatcher.now)[0].unserved == Approx(1));
  CHECK(DecisionsOfType<Refuse>(dispatcher.Arrived(MakeArrival(50, dispatcher.now, "m1"))).size() == 1);
}

TEST_CASE("a runner whose address belongs to another one is gone until a newer record", "[attempts]") {
  Testbed testbed = TestbedWithRunners(2);
  TestDispatcher dispatcher(testbed);
  const StartAttempt first = StartRequest(&dispatcher, true);
  dispatcher.Ended(first, AttemptOutcome::kWrongRunner);
  dispatcher.Install(testbed);
  dispatcher.Advance(5 * kSecond);
  for (int i = 0; i < 40; ++i) REQUIRE(dispatcher.SendRequest("m1") != first.runner_id);
  testbed.Runner(first.runner_id).set_call_count(2);
  dispatcher.Install(testbed);
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) used.insert(dispatcher.SendRequest("m1"));
  CHECK(used.contains(first.runner_id));
}

TEST_CASE("an unreachable runner is not used for a while", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const StartAttempt first = StartRequest(&dispatcher, true);
  dispatcher.Ended(first, AttemptOutcome::kConnectFailed);
  for (int i = 0; i < 20; ++i) REQUIRE(dispatcher.SendRequest("m1") != first.runner_id);
}

TEST_CASE("an attempt that reached no runner does not use the retry budget", "[attempts]") {
  Testbed testbed = TestbedWithRunners(3);
  testbed.bounds.retry_budget = true;
  testbed.bounds.retry_slack = 0;
  TestDispatcher dispatcher(testbed);
  const auto second = DecisionsOfType<StartAttempt>(dispatcher.Ended(StartRequest(&dispatcher, true, 3),  //
                                                                     AttemptOutcome::kConnectFailed));
  REQUIRE(second.size() == 1);
  // The second attempt was the first to reach a runner; a third would be a retry.
  CHECK(DecisionsOfType<Refuse>(dispatcher.Ended(second[0], AttemptOutcome::kNotRun)).size() == 1);
}

TEST_CASE("a full runner is not used for a short time", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(2));
  const StartAttempt first = StartRequest(&dispatcher, true);
  dispatcher.Ended(first, AttemptOutcome::kNotRun);
  for (int i = 0; i < 10; ++i) REQUIRE(dispatcher.SendRequest("m1") != first.runner_id);
}

TEST_CASE("a hanging runner is not used once it has been silent for too long", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  std::set<std::string> used;
  const StartAttempt hanging = StartRequest(&dispatcher, true);
  for (int i = 0; i < 40; ++i) {
    const StartAttempt other = StartRequest(&dispatcher, true);
    if (other.runner_id != hanging.runner_id) dispatcher.Ended(other, AttemptOutcome::kServed, true);
    dispatcher.Advance(50 * kMillisecond);
    if (i >= 25) used.insert(other.runner_id);
  }
  CHECK_FALSE(used.contains(hanging.runner_id));
}

TEST_CASE("a removed runner gets no new requests; its open attempts end normally", "[attempts]") {
  Testbed testbed = TestbedWithRunners(3);
  TestDispatcher dispatcher(testbed);
  const StartAttempt first = StartRequest(&dispatcher, true);
  testbed.Remove(first.runner_id);
  CHECK(dispatcher.Install(testbed).empty());
  const auto second = DecisionsOfType<StartAttempt>(dispatcher.Ended(first, AttemptOutcome::kBroken));
  REQUIRE(second.size() == 1);
  CHECK(second[0].runner_id != first.runner_id);
  for (int i = 0; i < 40; ++i) REQUIRE(dispatcher.SendRequest("m1") != first.runner_id);
}

TEST_CASE("the attempt of a client that disconnects is cancelled", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const StartAttempt first = StartRequest(&dispatcher, true);
  const auto cancelled = DecisionsOfType<CancelAttempt>(dispatcher.Gone(first.request));
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled[0].attempt == 0);
  CHECK(dispatcher.Ended(first, AttemptOutcome::kCancelled).empty());
  CHECK(dispatcher.Gone(first.request).empty());
  CHECK(dispatcher.decisions.NextTimer() == std::nullopt);
}

TEST_CASE("a request without an answer fails at its deadline", "[attempts]") {
  TestDispatcher dispatcher(TestbedWithRunners(3));
  const StartAttempt first = StartRequest(&dispatcher, false);
  const auto end = dispatcher.Advance(12 * kSecond);
  CHECK(DecisionsOfType<Fail>(end).size() == 1);
  CHECK(DecisionsOfType<CancelAttempt>(end).size() == 1);
  CHECK(DecisionsOfType<Refuse>(end).empty());
  CHECK(end.size() == 2);
}

}  // namespace
}  // namespace lichenlug::routing
