// Exchange of slot counts between dispatchers: the sums at runners under loss, duplication, restarts, false
// counts and malformed datagrams; and how the scheduler uses them.
#include "peers/holdings.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <variant>

#include "recording_observer.h"
#include "rookgw/brain.h"

namespace lichenlug {
namespace {

struct Dispatcher {
  RecordingObserver observer;
  Holdings holdings;
  explicit Dispatcher(std::uint64_t seed, int zone = kNoZone) : holdings(seed, {0, 3, zone}, 2, &observer) {
    for (const char* runner : {"r1", "r2"}) holdings.Name(runner, 0);
  }
  bool HandleMessage(int peer, const std::string& bytes, Time now) {
    bool greet = false;
    return holdings.HandleMessage(peer, bytes, now, &greet);
  }
  std::string Hold(const std::string& runner, double slots, Time now) {  // returns its datagram
    holdings.Hold(runner, slots, now);
    return holdings.MakeDatagrams(now).at(0).bytes;
  }
  std::string Failed(int cls, Time now) {
    holdings.Failed("r1", cls, now);
    return holdings.MakeDatagrams(now).at(0).bytes;
  }
};

TEST(Holdings, AddsUpPeerSlotsAndBoundsExcessiveCounts) {
  Dispatcher a(1), b(2), c(3);
  EXPECT_TRUE(c.HandleMessage(0, a.Hold("r1", 2, 1), 1));
  EXPECT_TRUE(c.HandleMessage(1, b.Hold("r1", 1, 1), 1));
  EXPECT_TRUE(c.HandleMessage(1, b.Hold("r2", 1e6, 2), 2));
  EXPECT_EQ(c.observer.held, (std::map<std::string, int>{{"r1", 3}, {"r2", 11}}));
}

TEST(Holdings, BatchesDecreasesAndSendsIncreasesAtOnce) {
  Dispatcher a(1);
  EXPECT_EQ(a.Hold("r1", 1, 1000).size(), 3u);
  a.holdings.Hold("r1", -1, 2000);
  EXPECT_EQ(a.holdings.DueAt(), 2000 + Holdings::kDecreaseDelay);
  EXPECT_TRUE(a.holdings.MakeDatagrams(2000).empty());
  EXPECT_EQ(a.Hold("r2", 1, 3000).size(), 5u);
  EXPECT_EQ(a.holdings.DueAt(), 0);
}

TEST(Holdings, LossDuplicatesAndReorderingLeaveTheLatestCount) {
  Dispatcher a(1), b(2);
  const std::string late = a.Hold("r1", 1, 1), last = a.Hold("r1", 1, 5);
  EXPECT_TRUE(b.HandleMessage(0, last, 10));
  EXPECT_FALSE(b.HandleMessage(0, late, 20));
  b.HandleMessage(0, last, 30);
  EXPECT_EQ(b.observer.held["r1"], 2);
}

TEST(Holdings, RestartDiscardsOldEntriesAndIsGreeted) {
  Dispatcher old(1), fresh(2), b(3);
  b.HandleMessage(0, old.Hold("r1", 4, 1), 1);
  EXPECT_EQ(b.observer.held["r1"], 4);
  bool greet = false;
  b.holdings.HandleMessage(0, fresh.holdings.Greeting(), 1000, &greet);
  EXPECT_TRUE(greet);
  EXPECT_EQ(b.observer.held["r1"], 0);
}

TEST(Holdings, EntriesOfAVanishedPeerExpire) {
  Dispatcher a(1), b(2);
  b.HandleMessage(0, a.Hold("r1", 1, 1), 1);
  b.holdings.ExpireEntries(Holdings::kEntryTtl);
  EXPECT_EQ(b.observer.held["r1"], 1);
  b.holdings.ExpireEntries(Holdings::kEntryTtl + 1);
  EXPECT_EQ(b.observer.held["r1"], 0);
}

TEST(Holdings, FailuresNeedTwoReportersAndAKnownClass) {
  Dispatcher a(1), b(2), c(3);
  for (int i = 1; i <= 5; ++i) c.HandleMessage(0, a.Failed(1, i * kSecond), i * kSecond);
  EXPECT_EQ(c.observer.failing, 0);
  c.HandleMessage(1, b.Failed(1, 6 * kSecond), 6 * kSecond);
  EXPECT_EQ(c.observer.failing, 1);
  c.HandleMessage(0, a.Failed(2, 7 * kSecond), 7 * kSecond),
      c.HandleMessage(1, b.Failed(2, 7 * kSecond), 7 * kSecond);
  EXPECT_EQ(c.observer.failing, 1);
  EXPECT_EQ(c.holdings.dropped(), 2u);
}

TEST(Holdings, SendsUpdatesToTheRunnersZoneOrOwnZoneIfUnknown) {
  Dispatcher a(1, 0);
  a.holdings.Name("far", 2), a.holdings.Name("nowhere", -1);
  for (const char* runner : {"r1", "far", "nowhere", "gone"}) a.holdings.Hold(runner, 1, 1);
  const auto datagrams = a.holdings.MakeDatagrams(1);
  ASSERT_EQ(datagrams.size(), 2u);
  EXPECT_EQ(datagrams[0].zone, 0);
  EXPECT_EQ(datagrams[1].zone, 2);
}

TEST(Holdings, ZoneOutOfByteRangeCountsAsNone) {
  Dispatcher a(1, 300), b(2, 44);  // 300 truncated to a byte is 44
  bool greet = false;
  b.holdings.HandleMessage(0, a.holdings.Greeting(), 1, &greet);
  EXPECT_EQ(b.holdings.ZoneOf(0), kNoZone);
  b.holdings.Name("far", 300), b.holdings.Hold("far", 1, 1);
  EXPECT_EQ(b.holdings.MakeDatagrams(1).at(0).zone, 44);
}

TEST(Holdings, RunnerThatIsRemovedAndAddedAgainKeepsItsSum) {
  Dispatcher a(1), b(2);
  b.holdings.Forget("r1");
  b.HandleMessage(0, a.Hold("r1", 2, 1), 1);
  EXPECT_EQ(b.observer.held.count("r1"), 0u);
  b.holdings.Name("r1", 0);
  EXPECT_EQ(b.observer.held["r1"], 2);
}

TEST(Holdings, MalformedDatagramsAreDroppedAndCounted) {
  Dispatcher b(2);
  std::mt19937_64 random(7);
  std::size_t refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes(random() % 300, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    refused += !b.HandleMessage(static_cast<int>(random() % 100), bytes, i * 1000);
    for (const auto& [runner, slots] : b.observer.held) ASSERT_GE(slots, 0) << runner;
  }
  EXPECT_GE(b.holdings.dropped(), refused);  // reports of unknown classes are counted too
  EXPECT_FALSE(b.HandleMessage(0, "", 1));
  b.holdings.ExpireEntries(20000 * 1000 + Holdings::kEntryTtl);
  for (const auto& [runner, slots] : b.observer.held) EXPECT_EQ(slots, 0) << runner;
}

// One of a hundred nodes, with two workers, that receives the slot counts of the others.
class PeerReport : public testing::Test {
 protected:
  static rookgw::Settings Site() {
    rookgw::Settings s;
    s.instances = 100, s.max_attempts = 2, s.probes = true, s.reports_slots = true;
    s.reports = rookgw::Settings::Reports::kProbe;
    s.cold_share = 0.3, s.ramp_time = 10 * kSecond, s.overload_factor = 4, s.overload_for = kSecond;
    s.classes.push_back({.name = "c", .aim = 300000, .stretch = 2, .deadline = 5000000});
    return s;
  }
  void SetUp() override { StartNode(0); }
  void StartNode(int ordinal) {
    rookgw::Settings site = Site();
    site.ordinal = ordinal;
    scheduler_ = rookgw::Scheduler(site, 1 + static_cast<std::uint64_t>(ordinal));
    scheduler_.Start(1, &actions_);
    ListWorkers(0);
  }
  void HandleEvent(const rookgw::Event& event) {
    actions_.clear();
    scheduler_.Handle(now_ += 1000, event, &actions_);
  }
  void ListWorkers(Time first_since) {
    const std::vector<rookgw::ListedWorker> list{{.id = "r1", .since = first_since}, {.id = "r2"}};
    HandleEvent(rookgw::ListChanged{rookgw::ListChanged::Form::kWhole, 1, list});
  }
  // Without load reports, the node uses the counts of its peers.
  void Sweep() { HandleEvent(rookgw::TimerFired{"sweep"}); }
  void Report(const std::string& worker, double free, double active) {
    rookgw::LoadReport report;
    report.free_slots = free, report.active = active;
    HandleEvent(rookgw::ProbeEnded{worker, true, 1, report});
  }
  void ReportIdle() {
    for (int i = 0; i < 3; ++i) Report("r1", 5, 0), Report("r2", 5, 0);
  }
  std::string PlaceJob(std::uint64_t key) {  // the worker of one more job; empty: queued
    rookgw::RequestArrived job;
    job.id = ++jobs_, job.key = key, job.valid_until = now_ + 5 * kSecond;
    HandleEvent(job);
    for (const auto& action : actions_)
      if (const auto* sent = std::get_if<rookgw::Dispatch>(&action)) return sent->worker;
    return {};
  }

  rookgw::Scheduler scheduler_{Site(), 1};
  std::vector<rookgw::Action> actions_;
  Time now_ = 100 * kSecond;
  std::uint64_t jobs_ = 0;
};

TEST_F(PeerReport, AvoidsARunnerThatOthersHaveFilled) {
  ListWorkers(0);
  ReportIdle();
  Sweep();
  const std::string home = PlaceJob(7), other = home == "r1" ? "r2" : "r1";
  HandleEvent(rookgw::PeerReport{home, 2}), HandleEvent(rookgw::PeerReport{other, 4});
  EXPECT_EQ(PlaceJob(7), home);
  HandleEvent(rookgw::PeerReport{home, 4});
  EXPECT_EQ(PlaceJob(7), other);
}

// One slot is free in the whole zone, and a hundred nodes with queued jobs all see it.
TEST_F(PeerReport, FewNodesSendToASingleFreeSlot) {
  std::vector<rookgw::ListedWorker> list;
  for (int i = 1; i <= 20; ++i) list.push_back({.id = "r" + std::to_string(i)});
  HandleEvent(rookgw::ListChanged{rookgw::ListChanged::Form::kWhole, 1, list});
  ReportIdle();
  Sweep();
  int taken = 0;
  for (std::uint64_t key = 0; key < 30; ++key) {
    for (const auto& worker : list) HandleEvent(rookgw::PeerReport{worker.id, 50});
    EXPECT_EQ(PlaceJob(key), "");
    HandleEvent(rookgw::PeerReport{"r1", 4});
    Sweep();
    bool sent = false;
    for (const auto& action : actions_) sent = sent || std::holds_alternative<rookgw::Dispatch>(action);
    if (!sent) continue;
    ++taken, now_ += 300000;  // it completes
    rookgw::AttemptEnded served;
    served.worker = "r1", served.id = jobs_, served.complete = true;
    HandleEvent(served);
  }
  EXPECT_GT(taken, 0);   // r1 is in the worker set of some jobs
  EXPECT_LT(taken, 15);  // it would be all of them if each node took every free slot that it sees
}

// Load reports of a full worker show no free slots, which must not be mistaken for a low capacity.
TEST_F(PeerReport, ReportsOfFullWorkersDoNotMakeThemLookSmall) {
  ListWorkers(0);
  for (int i = 0; i < 3; ++i) Report("r1", 1, 4), Report("r2", 1, 4);
  for (int i = 0; i < 300; ++i) Report("r1", 0, 5), Report("r2", 0, 5);
  Sweep();
  HandleEvent(rookgw::PeerReport{"r1", 4}), HandleEvent(rookgw::PeerReport{"r2", 4});
  const std::string first = PlaceJob(7);
  EXPECT_FALSE(first.empty());
  EXPECT_EQ(PlaceJob(7), first == "r1" ? "r2" : "r1");
}

// A hundred nodes that all see the same free slots at a cold worker send it its warm-up budget in total, not
// one job each; and none sends to a worker that the peers report as full.
TEST_F(PeerReport, ColdWorkerReceivesItsBudgetFromAllNodesTogether) {
  const Time start = now_;
  int while_free = 0, while_full = 0;
  for (int ordinal = 0; ordinal < 100; ++ordinal) {
    now_ = start;
    StartNode(ordinal);
    for (std::uint64_t key = 0; key < 20; ++key) {  // it learns a run time of 0.3 s per job
      rookgw::AttemptEnded served;
      served.worker = PlaceJob(key), served.id = jobs_, served.complete = true;
      now_ += 300000;
      HandleEvent(served);
    }
    const Time since = start + 20 * kSecond;
    now_ = since + 10000;
    ListWorkers(since);
    for (const double held : {0.0, 5.0})
      for (int span = 1; span <= 3; ++span) {
        now_ = since + (held == 0 ? span : span + 3) * kSecond + 500000;
        ReportIdle();
        Sweep();
        HandleEvent(rookgw::PeerReport{"r2", 200});  // the warm worker is full
        HandleEvent(rookgw::PeerReport{"r1", held});
        // One job per span: with more, its own reports would be frequent and it would ignore the peers'
        // counts.
        (held == 0 ? while_free : while_full) += PlaceJob(1000 * span) == "r1";
      }
  }
  // Three spans at 0.4 to 0.6 of five slots, four times their capacity, 0.3 s a job: 33 jobs/s on average.
  EXPECT_LE(while_free, 3 * (33 + 2 * std::sqrt(33) + 2));
  EXPECT_GE(while_free, 3 * 33 / 4);
  EXPECT_EQ(while_full, 0);
}

// With many jobs, and so many load reports, peer counts change nothing: small tiers behave as without them.
TEST_F(PeerReport, IsIgnoredWhileReportsAreFresh) {
  ListWorkers(0);
  for (std::uint64_t key = 0; key < 200; ++key) {
    rookgw::AttemptEnded served;
    served.worker = PlaceJob(key), served.id = jobs_, served.complete = true;
    HandleEvent(served);
  }
  Sweep();
  ReportIdle();
  HandleEvent(rookgw::PeerReport{"r1", 1e5}), HandleEvent(rookgw::PeerReport{"r2", 1e5});
  EXPECT_FALSE(PlaceJob(8).empty());
}

}  // namespace
}  // namespace lichenlug
