// Tests of the decisions with hand-written events.
#include "rookgw/brain.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>

#include "node.h"

namespace rookgw::test {
namespace {

// ---- The ordinary path ---------------------------------------------------------------------------------

TEST(OrdinaryPath, AKeyKeepsItsHomeAndKeysSpread) {
  Node node;
  node.ListMany(20, 6);
  std::map<std::uint64_t, std::string> home;
  std::set<std::string> homes;
  RequestId id = 0;
  for (std::uint64_t key = 0; key < 40; ++key) homes.insert(home[key] = node.Ask(++id, key));
  EXPECT_GT(homes.size(), 10u);
  Node other(PlainSettings(), 99);  // homes do not depend on the node or its seed
  other.ListMany(20, 6);
  for (std::uint64_t key = 0; key < 40; ++key) EXPECT_EQ(other.Ask(++id, key), home[key]);
}

TEST(OrdinaryPath, WithoutAKeyTheClassIsHashed) {
  Node node;
  node.ListMany(20, 6);
  const std::string first = node.Ask(1, std::nullopt, kUnsafeClass);
  ASSERT_NE(first, "");
  node.Ended(1, first, Outcome::kServed, 0, Reported(6));
  EXPECT_EQ(node.Ask(2, std::nullopt, kUnsafeClass), first);
}

TEST(OrdinaryPath, AWorkerThatLeavesMovesOnlyItsOwnKeys) {
  Node before, after;
  before.ListMany(20, 6);
  after.ListMany(20, 6);
  const std::string leaver = before.Ask(1000, 0);
  ListedWorker gone = Serving(leaver);
  gone.state = ListedWorker::State::kGone;
  after.List({gone}, ListChanged::Form::kPatch);
  int moved = 0;
  for (std::uint64_t key = 0; key < 60; ++key) {
    const std::string was = before.Ask(key + 1, key), is = after.Ask(key + 1, key);
    before.Run(50 * kMs), after.Run(50 * kMs);
    before.Ended(key + 1, was, Outcome::kServed, 0, Reported(6));
    after.Ended(key + 1, is, Outcome::kServed, 0, Reported(6));
    if (was == leaver) {
      EXPECT_NE(is, leaver);
      ++moved;
    } else {
      EXPECT_EQ(is, was);
    }
  }
  EXPECT_GT(moved, 0);
}

TEST(OrdinaryPath, ASetWidensWhenItsHomeIsFull) {
  Node node;
  node.ListMany(20, 6);
  const std::string home = node.Ask(1);
  node.Run(500 * kMs);
  node.Ended(1, home, Outcome::kServed, 0, Reported(0, 30));
  const std::string next = node.Ask(2);
  EXPECT_NE(next, "");
  EXPECT_NE(next, home);
}

TEST(OrdinaryPath, AHotKeyIsSpread) {
  Node node;
  node.ListMany(20, 4);
  std::set<std::string> used;
  for (RequestId id = 1; id <= 60; ++id) {
    const std::string worker = node.Ask(id);
    if (worker != "") used.insert(worker), node.Started(id);
    node.now += 5 * kMs;
  }
  EXPECT_GE(used.size(), 4u);
}

// Regression test: sets queued jobs next to idle workers, and a third of the answers came late.
TEST(OrdinaryPath, AJobTriesWorkersPastItsSetBeforeItQueues) {
  Node node;
  node.ListMany(20, 6);
  const std::string home = node.Ask(1);
  node.Started(1);
  node.Report(home, 0, 6);        // the fleet reports queues
  for (int i = 0; i < 10; ++i) {  // a short queue, which still allows an answer within the aim
    node.now += 300 * kMs;
    for (int w = 0; w < 20; ++w) {
      const std::string worker = "w" + std::to_string(w);
      node.Report(worker, worker == home ? 0 : 6, worker == home ? 1 : 0);
    }
  }
  const std::string next = node.Ask(2);
  EXPECT_NE(next, "");
  EXPECT_NE(next, home);
}

TEST(OrdinaryPath, AJobQueuesInItsSetIfNoWorkerIsIdle) {
  Node node;
  node.ListMany(20, 6);
  const std::string home = node.Ask(1);
  node.Started(1);
  for (int i = 0; i < 10; ++i) {
    node.now += 300 * kMs;
    for (int w = 0; w < 20; ++w) node.Report("w" + std::to_string(w), 0, i == 0 ? 6 : 1);
  }
  EXPECT_EQ(node.Ask(2), home);
}

TEST(OrdinaryPath, WorkersOfAKindTheClassCannotUseAreSkipped) {
  Settings s = PlainSettings();
  s.classes[kUnsafeClass].kind = 1;
  Node node(s);
  std::vector<ListedWorker> workers;
  for (int i = 0; i < 10; ++i) workers.push_back(Serving("w" + std::to_string(i)));
  workers[4].kind = 1;
  node.List(workers);
  for (RequestId id = 1; id <= 5; ++id) EXPECT_EQ(node.Ask(id, id), "w4");
}

TEST(OrdinaryPath, WithoutReportsOwnJobsCountAsLoad) {
  Settings s = PlainSettings();
  s.reports = Settings::Reports::kNever;
  s.reports_slots = s.reports_waiting = false;
  Node node(s);
  node.ListMany(10, 0);
  const std::string home = node.Ask(1);
  ASSERT_NE(home, "");
  node.Ended(1, home, Outcome::kFull);
  EXPECT_NE(node.SentTo(1), home);
  EXPECT_NE(node.SentTo(1), "");
}

TEST(OrdinaryPath, TheSameEventsGiveTheSameActions) {
  auto trace = [] {
    Node node(PlainSettings(), 5);
    node.ListMany(30, 3);
    std::string text;
    for (RequestId id = 1; id <= 200; ++id) {
      const std::string worker = node.Ask(id, id % 7, static_cast<int>(id % 3));
      text += worker + " ";
      if (id % 4 == 0 && worker != "") node.Ended(id, worker, Outcome::kFull);
      node.Run(3 * kMs);
      for (const Dispatch& d : node.Fresh<Dispatch>()) text += d.worker + "+";
    }
    return text;
  };
  EXPECT_EQ(trace(), trace());
}

// ---- The four rules --------------------------------------------------------------------------------------

TEST(Rules, AQueuedRequestEndsBeforeItsDeadline) {
  Node node;  // no worker is known
  EXPECT_EQ(node.Ask(1), "");
  node.Run(5 * kSecond);
  EXPECT_TRUE(node.Declined(1));
  node.ListMany(4, 6);
  EXPECT_EQ(node.Fresh<Dispatch>().size(), 0u);  // no dispatch after the end
}

TEST(Rules, ADispatchedUnsafeRequestFailsAtItsDeadlineAndIsCancelled) {
  Node node;
  node.ListMany(4, 6);
  ASSERT_NE(node.Ask(1), "");
  node.Started(1);
  node.Run(5 * kSecond);
  EXPECT_TRUE(node.Failed(1));
  EXPECT_FALSE(node.Declined(1));
  EXPECT_EQ(node.Fresh<CancelAttempt>().size(), 1u);
}

TEST(Rules, AnUnsafeRequestThatMayHaveRunIsNeitherRetriedNorDeclined) {
  for (Outcome outcome : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    Node node;
    node.ListMany(4, 6);
    const std::string worker = node.Ask(1);
    node.Ended(1, worker, outcome);
    EXPECT_TRUE(node.Failed(1));
    node.Run(6 * kSecond);
    EXPECT_EQ(node.Fresh<Dispatch>().size(), 0u);
    EXPECT_EQ(node.Fresh<Decline>().size(), 0u);
  }
}

TEST(Rules, AnUnsafeRequestThatNeverRanIsRetriedClockwise) {
  for (Outcome outcome : {Outcome::kFull, Outcome::kConnectFailed}) {
    Node node;
    node.ListMany(4, 6);
    const std::string worker = node.Ask(1);
    node.Ended(1, worker, outcome);
    EXPECT_NE(node.SentTo(1), "");
    EXPECT_NE(node.SentTo(1), worker);
  }
}

TEST(Rules, AKeyedRequestStaysInItsCell) {
  Node node;
  node.ListMany(16, 6);
  const std::string worker = node.Ask(1, 7, kKeyedClass);
  const int cell = std::stoi(worker.substr(1)) / 4;
  node.Ended(1, worker, Outcome::kError);
  const std::string again = node.SentTo(1);
  ASSERT_NE(again, "");
  EXPECT_EQ(std::stoi(again.substr(1)) / 4, cell);
}

// Sends a keyed request to one of two workers of a cell, where it fails after `span`. True if it is resent.
bool KeyedIsRetriedAfter(Time span, Time window, Time connect_timeout) {
  Settings s = PlainSettings();
  s.connect_timeout = connect_timeout;
  for (ClassSettings& c : s.classes) c.aim = 4 * kSecond, c.window = window;
  Node node(s);
  node.List({Serving("a", 1), Serving("b", 1)});
  const std::string first = node.Ask(1, 7, kKeyedClass);
  EXPECT_NE(first, "");
  node.Started(1);
  node.Run(span);
  node.Ended(1, first, Outcome::kError);
  return node.SentTo(1) != "";
}

// Regression test: a resent keyed job may need a new connection. One connected slowly and ran after the
// window.
TEST(Rules, AKeyedRequestIsNotRetriedIfItMayArriveAfterItsWindow) {
  EXPECT_TRUE(KeyedIsRetriedAfter(1900 * kMs, 3 * kSecond, kSecond));
  EXPECT_FALSE(KeyedIsRetriedAfter(2000 * kMs, 3 * kSecond, kSecond));
  EXPECT_TRUE(KeyedIsRetriedAfter(2000 * kMs, 3 * kSecond, 200 * kMs));
  EXPECT_FALSE(KeyedIsRetriedAfter(0, 500 * kMs, kSecond));
  EXPECT_FALSE(KeyedIsRetriedAfter(0, 0, 0));  // a window of 0: no deduplication
}

TEST(Rules, EffectsComeFromTheSettingsNotFromClassNamesOrOrder) {
  Settings s = PlainSettings();
  std::swap(s.classes[kRepeatableClass].effect, s.classes[kUnsafeClass].effect);
  for (int cls : {kRepeatableClass, kUnsafeClass}) {
    Node node(s);
    node.ListMany(4, 6);
    node.Ended(1, node.Ask(1, 7, cls), Outcome::kError);
    EXPECT_EQ(node.SentTo(1) != "", cls == kUnsafeClass);
  }
}

TEST(Rules, AKeyedRequestWhoseCellIsUnknownOrChangedIsNotRetried) {
  Node node;
  node.List({Serving("a", kNone), Serving("b", kNone), Serving("c", kNone)});
  node.Ended(1, node.Ask(1, 7, kKeyedClass), Outcome::kError);
  EXPECT_EQ(node.SentTo(1), "");
  Node moved;
  moved.List({Serving("a", 1), Serving("b", 1)});
  const std::string worker = moved.Ask(1, 7, kKeyedClass);
  moved.List({Serving("a", 2), Serving("b", 2)});
  moved.Ended(1, worker, Outcome::kError);
  EXPECT_EQ(moved.SentTo(1), "");
}

TEST(Rules, OneAttemptAtATimeUnlessSecondCopies) {
  Node node;
  node.ListMany(8, 6);
  node.Ask(1, 7, kRepeatableClass);
  node.Run(4 * kSecond);  // the first attempt never starts
  EXPECT_LE(node.Fresh<Dispatch>().size(), 0u);
}

TEST(Rules, NoMoreAttemptsThanAllowed) {
  Node node;
  node.ListMany(10, 6);
  std::string worker = node.Ask(1, 7, kRepeatableClass);
  int sent = 1;
  for (int attempt = 0; worker != "" && attempt < 9; ++attempt) {
    node.Ended(1, worker, Outcome::kFull, attempt);
    worker = node.SentTo(1);
    sent += worker != "";
  }
  EXPECT_EQ(sent, 3);
}

TEST(Rules, ADrainingWorkerGetsNothingNew) {
  Node node;
  node.List({Serving("a"), Serving("b")});
  ListedWorker draining = Serving("a");
  draining.state = ListedWorker::State::kDraining;
  node.List({draining}, ListChanged::Form::kPatch);
  for (RequestId id = 1; id <= 6; ++id) EXPECT_EQ(node.Ask(id, id), "b");
  node.List({Serving("c")});  // a whole list without "b" removes it
  for (RequestId id = 11; id <= 16; ++id) EXPECT_EQ(node.Ask(id, id), "c");
}

TEST(Rules, AFullyDrainingFleetDeclinesRequests) {
  Node node;
  ListedWorker draining = Serving("a");
  draining.state = ListedWorker::State::kDraining;
  node.List({draining});
  EXPECT_EQ(node.Ask(1), "");
  node.Run(6 * kSecond);
  EXPECT_TRUE(node.Declined(1));
}

TEST(Rules, AColdHomeIsSkipped) {
  Settings s = PlainSettings();
  s.instances = 30;
  Node node(s);
  node.ListMany(10, 6);
  const std::string home = node.Ask(1);
  node.Run(100 * kMs);
  node.Ended(1, home, Outcome::kServed, 0, Reported(6));
  ListedWorker restarted = Serving(home);
  restarted.since = node.now;
  node.List({restarted}, ListChanged::Form::kPatch);
  int cold = 0;
  for (RequestId id = 2; id < 42; ++id) {
    const std::string worker = node.Ask(id);
    EXPECT_NE(worker, "");
    cold += worker == home;
    node.Run(100 * kMs);
    node.Ended(id, worker, Outcome::kServed, 0, Reported(6));
  }
  EXPECT_LE(cold, 2);  // of 40 in four seconds
}

TEST(Waiting, ARetryKeepsTheAimOfTheFirstTry) {
  Node node;
  node.ListMany(1, 6);
  ASSERT_NE(node.Ask(1), "");  // its client waits five seconds, the longest wait seen
  RequestArrived repeat;
  repeat.id = 2, repeat.key = 8, repeat.cls = kUnsafeClass;
  repeat.valid_until = node.now + 2 * kSecond;  // three of five seconds have passed: the aim can't be met
  node.Tell(repeat);
  EXPECT_EQ(node.SentTo(2), "");
  node.Run(10 * kMs);
  EXPECT_TRUE(node.Declined(2));
}

TEST(Waiting, AJobThatCannotStartInTimeIsCancelled) {
  Settings s = PlainSettings();
  Node node(s);
  node.ListMany(4, 6);
  ASSERT_NE(node.Ask(1), "");  // never starts
  ASSERT_NE(node.Ask(2), "");
  node.Started(2);
  node.Run(3 * kSecond);
  EXPECT_TRUE(node.Failed(1));  // dispatched, so it may have run: not declined
  ASSERT_EQ(node.Fresh<CancelAttempt>().size(), 1u);
  EXPECT_EQ(node.Fresh<CancelAttempt>()[0].id, 1u);
  EXPECT_FALSE(node.Failed(2));              // it is running
  s.classes[kUnsafeClass].late_value = 0.5;  // a late answer still has value
  Node patient(s);
  patient.ListMany(4, 6);
  ASSERT_NE(patient.Ask(1), "");
  patient.Run(3 * kSecond);
  EXPECT_FALSE(patient.Failed(1));
}

// Regression test: a flood of requests from one tenant delayed all tenants.
TEST(Waiting, OverShareRequestsDoNotQueue) {
  Settings s = PlainSettings();
  s.tenants = {{"inside", 0.5, 1000}, {"flooding", 0.5, 0}};
  s.over_share_worth = 0.1;
  Node node(s);
  node.ListMany(1, 4);
  for (RequestId id = 11; id <= 12; ++id) {  // uses up the burst quota
    ASSERT_EQ(node.Ask(id, 7, kUnsafeClass, 1), "w0");
    node.Started(id), node.Run(300 * kMs);
    node.Ended(id, "w0", Outcome::kServed, 0, Reported(0, 1));
  }
  node.Run(kSecond);
  node.Report("w0", 0, 1);  // no slot free, a short queue
  EXPECT_EQ(node.Ask(1, 7, kUnsafeClass, 1), "");
  EXPECT_EQ(node.Ask(2, 7, kUnsafeClass, 0), "w0");
  node.Run(kSecond);
  EXPECT_TRUE(node.Declined(1));
}

// Regression test: each event set another timer while one was due, and each of these set more when it fired.
TEST(Waiting, TimersDoNotMultiply) {
  Node node;
  RequestId id = 0;
  for (int i = 0; i < 200; ++i) {
    for (int k = 0; k < 20; ++k) ++id, node.Ask(id, id);
    node.Run(2 * kMs);
  }
  std::size_t timers = 0;
  for (const Action& a : node.actions) timers += std::holds_alternative<SetTimer>(a);
  EXPECT_LT(timers, 2 * id / 20 + 500);
}

// ---- Capacity and zones ----------------------------------------------------------------------------------

// Regression test: sets that spanned the whole ring overloaded the store with fetches.
TEST(Capacity, AFullFleetDoesNotSpreadAKey) {
  Settings s = PlainSettings();
  Node node(s);
  node.ListMany(40, 4);
  for (int i = 0; i < 40; ++i) node.Run(50 * kMs), node.Report("w" + std::to_string(i), 0, 1);
  std::set<std::string> used;
  for (RequestId id = 1; id <= 40; ++id) {
    const std::string worker = node.Ask(id);
    if (worker != "")
      used.insert(worker), node.Started(id), node.Ended(id, worker, Outcome::kServed, 0, Reported(0, 1));
    node.Run(100 * kMs);
  }
  EXPECT_LE(used.size(), 8u);
}

// Regression test: with sets across zones, a partition between zones lost two thirds of the running jobs.
TEST(Zones, SetsStayInTheOwnZoneIfCrossingHasAFee) {
  for (double fee : {0.0, 0.02}) {
    Settings s = PlainSettings();
    s.fee_cross_zone = fee;
    Node node(s);
    std::vector<ListedWorker> workers;
    for (int i = 0; i < 20; ++i) {
      workers.push_back(Serving("w" + std::to_string(i)));
      workers.back().zone = i % 2;
    }
    node.List(workers);
    for (const ListedWorker& w : workers) node.Report(w.id, 6);
    int crossed = 0;
    for (RequestId id = 1; id <= 30; ++id) {
      const std::string worker = node.Ask(id, id);
      ASSERT_NE(worker, "");
      crossed += std::stoi(worker.substr(1)) % 2;
    }
    if (fee > 0)
      EXPECT_EQ(crossed, 0);
    else
      EXPECT_GT(crossed, 5);
  }
}

// Regression test: stale reports of free slots kept sending jobs to full workers.
TEST(Capacity, AFullWorkerIsSkippedForOneRunTime) {
  Node node;
  node.ListMany(10, 6);
  const std::string home = node.Ask(1);
  node.Ended(1, home, Outcome::kFull, 0, Reported(6));
  for (RequestId id = 2; id <= 4; ++id) EXPECT_NE(node.Ask(id), home);
}

// ---- Health ----------------------------------------------------------------------------------------------

// Regression test: two-second-old reports showed free slots that this node's own jobs had since filled.
TEST(Capacity, OwnJobsFillAWorkerWithAStaleReport) {
  Node node;
  node.ListMany(8, 4);
  const std::string home = node.Ask(1);
  node.Started(1);
  for (RequestId id = 2; id <= 4; ++id) {
    ASSERT_EQ(node.Ask(id), home);
    node.Started(id);
  }
  node.Run(800 * kMs);
  for (int w = 0; w < 8; ++w) node.Report("w" + std::to_string(w), 4);
  const std::string next = node.Ask(5);
  EXPECT_NE(next, "");
  EXPECT_NE(next, home);
}

// Regression test: growing run times made the only machine kind count as slow; in one of eight calm
// simulations, jobs were refused from the first second.
TEST(Capacity, GrowingRunTimesDoNotMakeTheOnlyKindSlow) {
  Node node;
  node.ListMany(8, 6);
  for (RequestId id = 1; id <= 30; ++id) {
    const std::string worker = node.Ask(id, id);
    ASSERT_NE(worker, "") << id;
    node.Started(id);
    node.Run(static_cast<Time>(id) * 60 * kMs);
    node.Ended(id, worker, Outcome::kServed, 0, Reported(6));
  }
  EXPECT_NE(node.Ask(31, 31), "");
}

TEST(Health, AWorkerThatNeverStartsItsJobsIsEjected) {
  Node node;
  node.ListMany(10, 6);
  const std::string hung = node.Ask(1);
  for (RequestId id = 2; id < 10; ++id) {  // other workers respond
    const std::string worker = node.Ask(id, id * 1000);
    node.Started(id);
    node.Ended(id, worker, Outcome::kServed, 0, Reported(6));
  }
  node.Run(3 * kSecond);
  EXPECT_NE(node.Ask(20), hung);
}

Settings SettingsWithAccepts() {
  Settings s = PlainSettings();
  s.reports_accepts = true, s.reports_starts = false;
  return s;
}

void Accepted(Node& node, RequestId id, int attempt = 0) {
  node.Tell(AttemptUpdate{id, attempt, AttemptUpdate::Kind::kAccepted, 0});
}

// Regression test: some runners never answered jobs of one class, while their other jobs succeeded and probes
// showed free slots; 16% of all requests failed.
TEST(Health, AWorkerThatNeverAcceptsAClassIsEjectedForItAndThenGetsOneJobAtATime) {
  Node node(SettingsWithAccepts());
  node.ListMany(4, 6);
  const std::string home = node.Ask(1);
  node.Run(200 * kMs);
  EXPECT_EQ(node.Ask(2), home);  // not suspected yet
  Accepted(node, 2);
  node.Run(100 * kMs);
  EXPECT_TRUE(node.Fresh<CancelAttempt>().empty());  // an unsafe job may still have its answer
  node.Report(home, 6);                              // a probe does not end the ejection
  const std::string other = node.Ask(3);
  EXPECT_NE(other, home);
  Accepted(node, 3);
  EXPECT_EQ(node.Ask(8, 7, kRepeatableClass), home);  // jobs of other classes still go there
  Accepted(node, 8);
  node.Run(1500 * kMs);
  node.Ended(2, home, Outcome::kServed, 0, Reported(6));
  EXPECT_EQ(node.Ask(4), home);  // one trial job
  EXPECT_NE(node.Ask(5), home);
  Accepted(node, 4);
  EXPECT_EQ(node.Ask(6), home);
}

TEST(Health, AnUnacceptedKeyedJobIsRetriedInItsCell) {
  Node node(SettingsWithAccepts());
  node.ListMany(4, 6);
  const std::string home = node.Ask(1, 7, kKeyedClass);
  node.Run(300 * kMs);
  ASSERT_EQ(node.Fresh<CancelAttempt>().size(), 1u);
  node.Ended(1, home, Outcome::kCancelled);
  EXPECT_NE(node.SentTo(1), "");
  EXPECT_NE(node.SentTo(1), home);
}

TEST(Health, AnAcceptedJobIsNotSuspected) {
  Node node(SettingsWithAccepts());
  node.ListMany(4, 6);
  const std::string home = node.Ask(1, 7, kKeyedClass);
  Accepted(node, 1);
  node.Started(1);
  node.Run(300 * kMs);
  EXPECT_TRUE(node.Fresh<CancelAttempt>().empty());
  EXPECT_EQ(node.Ask(2, 7, kKeyedClass), home);
}

// Regression test: a runner failed 85% of its jobs within 15 ms and so always looked idle; it received a
// third of all jobs for 18 s.
TEST(Health, AWorkerThatFailsAClassFastIsEjectedForIt) {
  Node node(SettingsWithAccepts());
  node.ListMany(4, 6);
  const std::string home = node.Ask(1);
  node.Ended(1, home, Outcome::kError);
  EXPECT_EQ(node.Ask(2), home);  // a single failure may be the job's fault
  node.Ended(2, home, Outcome::kError);
  EXPECT_NE(node.Ask(3), home);
  EXPECT_EQ(node.Ask(4, 7, kRepeatableClass), home);
  node.Run(2100 * kMs);
  EXPECT_EQ(node.Ask(5), home);
}

TEST(Health, AWorkerWithOccasionalFailuresIsNotEjected) {
  Node node(SettingsWithAccepts());
  node.ListMany(4, 6);
  const std::string home = node.Ask(1000);
  node.Ended(1000, home, Outcome::kServed, 0, Reported(6));
  for (RequestId id = 1; id <= 30; ++id) {
    ASSERT_EQ(node.Ask(id), home);
    node.Ended(id, home, id % 3 == 0 ? Outcome::kError : Outcome::kServed, 0, Reported(6));
    node.Run(1 * kSecond);
  }
}

TEST(Health, UnacceptedJobsOnAllWorkersDoNotEmptyTheRing) {
  Node node(SettingsWithAccepts());
  node.ListMany(4, 6);
  std::set<std::string> used;
  for (RequestId id = 1; id <= 12; ++id) used.insert(node.Ask(id, id));
  ASSERT_EQ(used.size(), 4u);
  node.Run(300 * kMs);
  EXPECT_NE(node.Ask(41), "");
}

TEST(Health, ALocalFaultDoesNotEmptyTheRing) {
  Node node;
  node.ListMany(6, 6);
  for (RequestId id = 1; id <= 12; ++id) node.Ask(id, id);
  node.Run(3 * kSecond);  // nothing starts anywhere
  int sent = 0;
  for (RequestId id = 100; id < 120; ++id) sent += node.Ask(id, id) != "";
  EXPECT_GT(sent, 0);
}

// ---- The list --------------------------------------------------------------------------------------------

TEST(List, ASubscriptionIsRequestedAndRenewed) {
  Settings s = PlainSettings();
  s.list_on_request = true;
  Node node(s);
  int asked = 0;
  for (const Action& a : node.actions) asked += std::holds_alternative<Subscribe>(a);
  EXPECT_EQ(asked, 1);
  node.List({Serving("a")});
  node.Run(30 * kSecond);
  EXPECT_EQ(node.Fresh<Subscribe>().size(), 0u);
  node.Tell(ListChanged{ListChanged::Form::kFailed, 0, {}});
  node.Run(5 * kSecond);
  EXPECT_GE(node.Fresh<Subscribe>().size(), 1u);
}

// ---- Use as a library ------------------------------------------------------------------------------------

TEST(Library, InvalidSettingsAreNamed) {
  auto message = [](Settings s) -> std::string {
    try {
      Scheduler scheduler(std::move(s), 1);
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  Settings s = PlainSettings();
  EXPECT_EQ(message(s), "");
  s.instances = 0;
  EXPECT_NE(message(s).find("instances"), std::string::npos);
  s = PlainSettings();
  s.classes.clear();
  EXPECT_NE(message(s).find("classes"), std::string::npos);
  s = PlainSettings();
  s.cold_share = 2;
  EXPECT_NE(message(s).find("cold_share"), std::string::npos);
}

TEST(Library, EventsAboutUnknownItemsAreIgnored) {
  Settings s = PlainSettings();
  s.repeats_marked = true;
  Node node(s);
  node.ListMany(3, 6);
  const std::size_t before = node.actions.size();
  node.Ended(77, "w1", Outcome::kServed);
  node.Ended(77, "nobody", Outcome::kFull);
  node.Started(77);
  node.Tell(RequestAbandoned{77});
  node.Tell(TimerFired{"unheard of"});
  node.Tell(ProbeEnded{"nobody", true, 1, Reported(3)});
  EXPECT_EQ(node.actions.size(), before);
  const std::string worker = node.Ask(1);
  node.Ended(1, worker, Outcome::kServed, 5);  // an attempt never sent
  EXPECT_EQ(node.scheduler.sizes().requests, 1u);
  EXPECT_EQ(node.Ask(1), "");  // the id is already known
  node.now -= kSecond;         // an earlier time counts as the latest one
  EXPECT_NE(node.Ask(2), "");
}

TEST(Library, AnUnknownClassOrTenantThrows) {
  Node node;
  EXPECT_THROW(node.Ask(1, 7, 9), std::out_of_range);
  EXPECT_THROW(node.Ask(2, 7, kUnsafeClass, 3), std::out_of_range);
  EXPECT_EQ(node.scheduler.sizes().requests, 0u);
}

TEST(Library, MemoryStaysBoundedWithOneOffKeysAndWorkerChurn) {
  Node node;
  RequestId id = 0;
  for (int round = 0; round < 300; ++round) {
    std::vector<ListedWorker> workers;
    for (int i = 0; i < 10; ++i)
      workers.push_back(Serving("r" + std::to_string(round) + "-" + std::to_string(i)));
    node.List(workers);
    for (int i = 0; i < 100; ++i) {
      const std::string worker = node.Ask(++id, round * 1000 + i);
      ASSERT_NE(worker, "");
      node.Ended(id, worker, Outcome::kServed, 0, Reported(6));
    }
    node.actions.clear();
    node.now += kSecond;
  }
  EXPECT_EQ(node.scheduler.sizes().requests, 0u);
  EXPECT_EQ(node.scheduler.sizes().waiting, 0u);
  EXPECT_LE(node.scheduler.sizes().keys, 20000u);
  EXPECT_LE(node.scheduler.sizes().workers, 1000u);
}

}  // namespace
}  // namespace rookgw::test
