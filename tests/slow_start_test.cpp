// Tests that a tier keeps the slow-start budget of a cold worker, with or without reports between its nodes,
// with late news of the worker's start, and when the nodes themselves restart.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "node.h"

namespace rookgw::test {
namespace {

constexpr Time kStep = 10 * kMs;
constexpr int kDrainingWorkers = 30;  // they make a node's own reports scarce and take no jobs

enum class Traffic { kBursts, kSteady, kSteadyThenBursts };
enum class PeerReports { kNever, kAlways, kFirstHalf };  // when nodes report their slots in use
struct Case {
  Traffic traffic = Traffic::kBursts;
  PeerReports peer_reports = PeerReports::kNever;
  bool restarts = false;  // of 70% of the nodes, several times
  bool returns = false;   // the worker restarts at its address halfway
  bool mixed = false;     // jobs with half and 1.5 times the mean work
  bool learned = true;    // the nodes have learned the run times
};

struct Site {
  int instances, slots;
  Settings settings;
  Time run;  // run time of a job of mean work on a warm worker
};

// A cold worker that never rejects a job, and a tier with no other worker to send to, so that only the slow
// start limits its dispatches.
class Tier {
 public:
  Tier(const Site& site, const Case& c, std::uint64_t seed) : site_(site), case_(c), random_(seed) {
    for (int i = 0; i < site.instances; ++i) members_.emplace_back();
    for (int i = 0; i < site.instances; ++i) StartNode(i, /*learned=*/c.learned);
    now_ += 48 * site.run;
  }

  // Maximum work sent in a window, relative to the budget plus its random variation; above 1 breaks the rule.
  double MaxBudgetUse() {
    const Time start = now_, half = start + site_.settings.ramp_time / 2;
    since_ = start + Draw(-20, 20) * kMs;  // possibly slightly in the future
    ScheduleLists();
    Time next_burst = start + Draw(200, 2500) * kMs, next_restart = start + Draw(500, 3000) * kMs;
    bool returned = false;
    for (; now_ < since_ + site_.settings.ramp_time; now_ += kStep) {
      if (case_.returns && !returned && now_ >= half) {
        returned = true, since_ = now_, sent_.clear();
        ScheduleLists();
      }
      if (case_.restarts && now_ >= next_restart) {
        for (int i = 0; i < site_.instances; ++i)
          if (Draw(0, 9) < 7) StartNode(i, /*learned=*/false);
        next_restart = now_ + Draw(200, 2500) * kMs;
        next_burst = std::min(next_burst, now_ + Draw(0, 300) * kMs);
      }
      const bool bursts =
          case_.traffic == Traffic::kBursts || (case_.traffic == Traffic::kSteadyThenBursts && now_ >= half);
      if (bursts && now_ >= next_burst) {
        for (int i = 0; i < site_.instances; ++i)
          for (Time n = Draw(1, 6); n > 0; --n) SendRequest(i);
        next_burst = now_ + Draw(300 * kMs, site_.settings.ramp_time / 2);
      } else if (!bursts) {
        const double per_step = 4 * Budget() / site_.instances * kStep / site_.settings.overload_for;
        for (int i = 0; i < site_.instances; ++i) {
          members_[i].arrivals_due += per_step;
          for (; members_[i].arrivals_due >= 1; members_[i].arrivals_due -= 1) SendRequest(i);
        }
      }
      const bool reports_due = case_.peer_reports == PeerReports::kAlways ||
                               (case_.peer_reports == PeerReports::kFirstHalf && now_ < half);
      if (reports_due && (now_ - start) % (100 * kMs) < kStep) SendPeerReports();
      for (int i = 0; i < site_.instances; ++i) Step(i);
    }
    return max_use_;
  }

  long sent() const { return total_sent_; }

 private:
  struct OpenAttempt {
    Time ends;
    RequestId id;
    int attempt;
  };
  struct Member {
    std::unique_ptr<Node> node;
    std::deque<OpenAttempt> open;
    Time list_due = -1, listed_since = 0;  // of the latest start
    double arrivals_due = 0;
    int held = 0;
  };

  Time Draw(Time min, Time max) { return std::uniform_int_distribution<Time>(min, max)(random_); }

  double Budget() const {  // in jobs of mean work, for the window that ends now
    const Settings& s = site_.settings;
    const double age = std::clamp(static_cast<double>(now_ - since_) / s.ramp_time, 0.0, 1.0);
    return s.overload_factor * (s.cold_share + (1 - s.cold_share) * age) * site_.slots *
           static_cast<double>(s.overload_for) / static_cast<double>(site_.run);
  }

  Time RunTimeOf(int cls) const {
    return !case_.mixed ? site_.run : cls == kRepeatableClass ? site_.run / 2 : site_.run * 3 / 2;
  }

  // Starts node `i`, or replaces it by a new instance.
  void StartNode(int i, bool learned) {
    Member& member = members_[i];
    Settings s = site_.settings;
    s.ordinal = i;
    member.node = std::make_unique<Node>(s, random_(), now_ + (learned ? Draw(0, 50) * kMs : 0));
    member.open.clear(), member.held = 0;
    Node& node = *member.node;
    if (learned) {  // run times, learned from a warm worker
      node.List({Serving("warm")});
      for (int n = 0; n < 24; ++n) {
        const RequestId id = ++last_id_;
        const int cls = n % 2 == 0 ? kRepeatableClass : kUnsafeClass;
        if (node.Ask(id, 7, cls) != "warm") continue;
        node.Started(id);
        node.now += RunTimeOf(cls);
        node.Ended(id, "warm", Outcome::kServed, 0, Reported(site_.slots));
      }
    }
    if (member.listed_since != 0) SendList(member);  // starts with the current list
    node.Report("other0", site_.slots);
    ClearActions(node);
  }

  static void ClearActions(Node& node) {  // drops the node's actions after their timers are set
    node.Run(0), node.actions.clear(), node.Run(0);
  }

  void ScheduleLists() {  // each node gets the list at another time
    for (Member& member : members_) member.list_due = now_ + (Draw(0, 2) == 0 ? 0 : Draw(0, 2000) * kMs);
  }

  void SendList(Member& member) {
    std::vector<ListedWorker> workers{Serving("cold")};
    workers[0].since = member.listed_since;
    for (int i = 0; i < kDrainingWorkers; ++i) {
      workers.push_back(Serving("other" + std::to_string(i)));
      workers.back().state = ListedWorker::State::kDraining;
      workers.back().weight = 0.001;  // few ring points, for short walks
    }
    member.node->List(workers);
    HandleActions(member);
    for (int i = 0; i < kDrainingWorkers; i += 10)
      member.node->Report("other" + std::to_string(i), site_.slots);
  }

  void SendPeerReports() {
    int all = 0;
    for (const Member& member : members_) all += member.held;
    for (Member& member : members_) {
      if (Draw(0, 9) == 0) continue;  // lost
      member.node->Tell(PeerReport{"cold", static_cast<double>(last_total_held_ - member.held)});
      HandleActions(member);
    }
    last_total_held_ = all;  // reports are 0.1 s old
  }

  void SendRequest(int i) {
    Member& member = members_[i];
    member.node->now = std::max(member.node->now, now_);
    const int cls = classes_[++last_id_] = Draw(0, 1) == 0 ? kRepeatableClass : kUnsafeClass;
    member.node->Ask(last_id_, 7, cls);
    HandleActions(member);
  }

  void Step(int i) {
    Member& member = members_[i];
    Node& node = *member.node;
    node.now = std::max(node.now, now_);
    if (member.list_due >= 0 && now_ >= member.list_due) {
      member.list_due = -1, member.listed_since = since_;
      SendList(member);
    }
    while (!member.open.empty() && member.open.front().ends <= now_) {
      const OpenAttempt ended = member.open.front();
      member.open.pop_front(), --member.held;
      node.Ended(ended.id, "cold", Outcome::kServed, ended.attempt, Reported(site_.slots));
      HandleActions(member);
    }
    if (node.now < now_ + kStep) node.Run(now_ + kStep - node.now);
    HandleActions(member);
    ClearActions(node);
  }

  void HandleActions(Member& member) {  // processes the node's new actions
    const auto cancelled = member.node->Fresh<CancelAttempt>();
    for (const Dispatch& d : member.node->Fresh<Dispatch>()) {
      if (d.worker != "cold") continue;
      const Time runs = RunTimeOf(classes_.at(d.id));
      member.open.push_back({now_ + runs, d.id, 0});
      std::ranges::sort(member.open, {}, &OpenAttempt::ends);
      ++member.held;
      if (member.listed_since == since_)
        CountSent(static_cast<double>(runs) / static_cast<double>(site_.run));
    }
    for (const CancelAttempt& c : cancelled) {
      member.held -=
          static_cast<int>(std::erase_if(member.open, [&](const OpenAttempt& o) { return o.id == c.id; }));
      member.node->Ended(c.id, "cold", Outcome::kCancelled, c.attempt);
      HandleActions(member);
    }
  }

  void CountSent(double work) {
    if (now_ + kStep >= since_ + site_.settings.ramp_time) return;  // the worker may be warm by then
    ++total_sent_;
    sent_.push_back({now_, work});
    // One step shorter than the window, since a dispatch may happen up to a step after it is counted.
    while (sent_.front().first <= now_ - site_.settings.overload_for + kStep) sent_.pop_front();
    double sum = 0;
    for (const auto& [at, w] : sent_) sum += w;
    const double n = Budget();
    max_use_ = std::max(max_use_, sum / (n + 2 * std::sqrt(n) + 2));
  }

  Site site_;
  Case case_;
  std::mt19937_64 random_;
  std::deque<Member> members_;
  std::map<RequestId, int> classes_;
  std::deque<std::pair<Time, double>> sent_;  // in the window: time and work
  Time now_ = 1000 * kSecond, since_ = 0;
  RequestId last_id_ = 0;
  long total_sent_ = 0;
  int last_total_held_ = 0;
  double max_use_ = 0;
};

// Checks random tiers of 1 to 300 nodes and random sites; the seed makes the result deterministic.
void ExpectWithinBudget(Case c) {
  long sent = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    std::mt19937_64 random(seed);
    auto one = [&random]<typename T>(std::initializer_list<T> values) {
      return values.begin()[random() % values.size()];
    };
    Site site{one({1, 2, 3, 20, 30, 300}), one({1, 3, 5, 12}), PlainSettings(), one({100, 600, 1400}) * kMs};
    Settings& s = site.settings;
    s.instances = site.instances;
    s.probes = true;
    s.cold_share = one({0.1, 0.16, 0.4});
    s.overload_factor = one({2.0, 3.0, 4.0});
    s.overload_for = one({500, 1000, 2000}) * kMs;
    s.ramp_time = one({4, 20}) * kSecond;
    for (ClassSettings& k : s.classes) k.aim = one({200, 3000}) * kMs;
    c.traffic = one({Traffic::kBursts, Traffic::kSteady, Traffic::kSteadyThenBursts});
    Tier tier(site, c, seed);
    EXPECT_LE(tier.MaxBudgetUse(), 1.0)
        << "of the tolerated budget; seed " << seed << ", " << site.instances << " nodes, " << site.slots
        << " slots, runs of " << site.run / kMs << " ms, " << tier.sent() << " sent";
    sent += tier.sent();
  }
  EXPECT_GT(sent, 200);  // the budget is actually used
}

// Budget that is unused during a quiet period must not accumulate and be spent in one burst.
TEST(SlowStart, BudgetHoldsForABurstAfterQuietSeconds) {
  for (int instances : {20, 30, 300})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Site site{instances, 12, PlainSettings(), 1400 * kMs};
      site.settings.instances = instances;
      site.settings.cold_share = 0.4;
      for (ClassSettings& k : site.settings.classes) k.aim = 3 * kSecond;
      Tier tier(site, {}, seed);
      EXPECT_LE(tier.MaxBudgetUse(), 1.0) << "of the tolerated budget; seed " << seed << ", " << instances
                                          << " nodes, " << tier.sent() << " sent";
    }
}

TEST(SlowStart, BudgetHoldsWithoutPeerReports) { ExpectWithinBudget({}); }
TEST(SlowStart, BudgetHoldsWithPeerReports) { ExpectWithinBudget({.peer_reports = PeerReports::kAlways}); }
TEST(SlowStart, BudgetHoldsWhenPeerReportsStop) {
  ExpectWithinBudget({.peer_reports = PeerReports::kFirstHalf});
}
TEST(SlowStart, BudgetHoldsWhenNodesRestart) { ExpectWithinBudget({.restarts = true}); }
TEST(SlowStart, BudgetHoldsWhenNodesWithPeerReportsRestart) {
  ExpectWithinBudget({.peer_reports = PeerReports::kAlways, .restarts = true});
}
TEST(SlowStart, BudgetHoldsWhenTheWorkerRestartsAtItsAddress) { ExpectWithinBudget({.returns = true}); }
TEST(SlowStart, BudgetHoldsForJobsOfTwoSizes) { ExpectWithinBudget({.mixed = true}); }
TEST(SlowStart, BudgetHoldsBeforeRunTimesAreLearned) { ExpectWithinBudget({.learned = false}); }

}  // namespace
}  // namespace rookgw::test
