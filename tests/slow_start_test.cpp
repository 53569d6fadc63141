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
constexpr int kOthers = 30;  // draining workers: they make own reports scarce and take no jobs

enum class Traffic { kBursts, kSteady, kSteadyThenBursts };
enum class News { kNone, kAll, kLost };  // reports of slots in use: never, always, first half only
struct Case {
  Traffic traffic = Traffic::kBursts;
  News news = News::kNone;
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
    for (int i = 0; i < site.instances; ++i) seats_.emplace_back();
    for (int i = 0; i < site.instances; ++i) Begin(i, /*learned=*/c.learned);
    now_ += 48 * site.run;
  }

  // Maximum work sent in a window, relative to the budget plus its random variation; above 1 breaks the rule.
  double Play() {
    const Time begun = now_, half = begun + site_.settings.ramp_time / 2;
    since_ = begun + Draw(-20, 20) * kMs;  // possibly slightly in the future
    TellStart();
    Time next_burst = begun + Draw(200, 2500) * kMs, next_restart = begun + Draw(500, 3000) * kMs;
    bool returned = false;
    for (; now_ < since_ + site_.settings.ramp_time; now_ += kStep) {
      if (case_.returns && !returned && now_ >= half) {
        returned = true, since_ = now_, sent_.clear();
        TellStart();
      }
      if (case_.restarts && now_ >= next_restart) {
        for (int i = 0; i < site_.instances; ++i)
          if (Draw(0, 9) < 7) Begin(i, /*learned=*/false);
        next_restart = now_ + Draw(200, 2500) * kMs;
        next_burst = std::min(next_burst, now_ + Draw(0, 300) * kMs);
      }
      const bool bursts =
          case_.traffic == Traffic::kBursts || (case_.traffic == Traffic::kSteadyThenBursts && now_ >= half);
      if (bursts && now_ >= next_burst) {
        for (int i = 0; i < site_.instances; ++i)
          for (Time n = Draw(1, 6); n > 0; --n) Ask(i);
        next_burst = now_ + Draw(300 * kMs, site_.settings.ramp_time / 2);
      } else if (!bursts) {
        const double a_step = 4 * Budget() / site_.instances * kStep / site_.settings.overload_for;
        for (int i = 0; i < site_.instances; ++i) {
          seats_[i].due += a_step;
          for (; seats_[i].due >= 1; seats_[i].due -= 1) Ask(i);
        }
      }
      const bool told = case_.news == News::kAll || (case_.news == News::kLost && now_ < half);
      if (told && (now_ - begun) % (100 * kMs) < kStep) TellHoldings();
      for (int i = 0; i < site_.instances; ++i) Step(i);
    }
    return worst_;
  }

  long sent() const { return all_sent_; }

 private:
  struct Out {
    Time ends;
    RequestId id;
    int attempt;
  };
  struct Seat {
    std::unique_ptr<Node> node;
    std::deque<Out> out;
    Time hears = -1, told_since = 0;  // of the latest start
    double due = 0;
    int held = 0;
  };

  Time Draw(Time least, Time most) { return std::uniform_int_distribution<Time>(least, most)(random_); }

  double Budget() const {  // in jobs of mean work, for the window that ends now
    const Settings& s = site_.settings;
    const double age = std::clamp(static_cast<double>(now_ - since_) / s.ramp_time, 0.0, 1.0);
    return s.overload_factor * (s.cold_share + (1 - s.cold_share) * age) * site_.slots *
           static_cast<double>(s.overload_for) / static_cast<double>(site_.run);
  }

  Time RunOf(int cls) const {
    return !case_.mixed ? site_.run : cls == kRepeatableClass ? site_.run / 2 : site_.run * 3 / 2;
  }

  // Starts node `i`, or replaces it by a new instance.
  void Begin(int i, bool learned) {
    Seat& seat = seats_[i];
    Settings s = site_.settings;
    s.ordinal = i;
    seat.node = std::make_unique<Node>(s, random_(), now_ + (learned ? Draw(0, 50) * kMs : 0));
    seat.out.clear(), seat.held = 0;
    Node& node = *seat.node;
    if (learned) {  // run times, learned from a warm worker
      node.List({Serving("warm")});
      for (int n = 0; n < 24; ++n) {
        const RequestId id = ++ids_;
        const int cls = n % 2 == 0 ? kRepeatableClass : kUnsafeClass;
        if (node.Ask(id, 7, cls) != "warm") continue;
        node.Started(id);
        node.now += RunOf(cls);
        node.Ended(id, "warm", Outcome::kServed, 0, Reported(site_.slots));
      }
    }
    if (seat.told_since != 0) TellList(seat);  // it starts with the current list
    node.Report("other0", site_.slots);
    Clear(node);
  }

  static void Clear(Node& node) {  // drops the node's actions after their timers are set
    node.Run(0), node.actions.clear(), node.Run(0);
  }

  void TellStart() {  // each node gets the list at another time
    for (Seat& seat : seats_) seat.hears = now_ + (Draw(0, 2) == 0 ? 0 : Draw(0, 2000) * kMs);
  }

  void TellList(Seat& seat) {
    std::vector<ListedWorker> workers{Serving("cold")};
    workers[0].since = seat.told_since;
    for (int i = 0; i < kOthers; ++i) {
      workers.push_back(Serving("other" + std::to_string(i)));
      workers.back().state = ListedWorker::State::kDraining;
      workers.back().weight = 0.001;  // few ring points, for short walks
    }
    seat.node->List(workers);
    Take(seat);
    for (int i = 0; i < kOthers; i += 10) seat.node->Report("other" + std::to_string(i), site_.slots);
  }

  void TellHoldings() {
    int all = 0;
    for (const Seat& seat : seats_) all += seat.held;
    for (Seat& seat : seats_) {
      if (Draw(0, 9) == 0) continue;  // lost
      seat.node->Tell(PeerReport{"cold", static_cast<double>(all_held_before_ - seat.held)});
      Take(seat);
    }
    all_held_before_ = all;  // reports are 0.1 s old
  }

  void Ask(int i) {
    Seat& seat = seats_[i];
    seat.node->now = std::max(seat.node->now, now_);
    const int cls = classes_[++ids_] = Draw(0, 1) == 0 ? kRepeatableClass : kUnsafeClass;
    seat.node->Ask(ids_, 7, cls);
    Take(seat);
  }

  void Step(int i) {
    Seat& seat = seats_[i];
    Node& node = *seat.node;
    node.now = std::max(node.now, now_);
    if (seat.hears >= 0 && now_ >= seat.hears) {
      seat.hears = -1, seat.told_since = since_;
      TellList(seat);
    }
    while (!seat.out.empty() && seat.out.front().ends <= now_) {
      const Out out = seat.out.front();
      seat.out.pop_front(), --seat.held;
      node.Ended(out.id, "cold", Outcome::kServed, out.attempt, Reported(site_.slots));
      Take(seat);
    }
    if (node.now < now_ + kStep) node.Run(now_ + kStep - node.now);
    Take(seat);
    Clear(node);
  }

  void Take(Seat& seat) {  // processes the node's new actions
    const auto cancelled = seat.node->Fresh<CancelAttempt>();
    for (const Dispatch& d : seat.node->Fresh<Dispatch>()) {
      if (d.worker != "cold") continue;
      const Time runs = RunOf(classes_.at(d.id));
      seat.out.push_back({now_ + runs, d.id, 0});
      std::ranges::sort(seat.out, {}, &Out::ends);
      ++seat.held;
      if (seat.told_since == since_) Count(static_cast<double>(runs) / static_cast<double>(site_.run));
    }
    for (const CancelAttempt& c : cancelled) {
      seat.held -= static_cast<int>(std::erase_if(seat.out, [&](const Out& o) { return o.id == c.id; }));
      seat.node->Ended(c.id, "cold", Outcome::kCancelled, c.attempt);
      Take(seat);
    }
  }

  void Count(double work) {
    if (now_ + kStep >= since_ + site_.settings.ramp_time) return;  // the worker may be warm by then
    ++all_sent_;
    sent_.push_back({now_, work});
    // One step shorter than the window, since a dispatch may happen up to a step after it is counted.
    while (sent_.front().first <= now_ - site_.settings.overload_for + kStep) sent_.pop_front();
    double sum = 0;
    for (const auto& [at, w] : sent_) sum += w;
    const double n = Budget();
    worst_ = std::max(worst_, sum / (n + 2 * std::sqrt(n) + 2));
  }

  Site site_;
  Case case_;
  std::mt19937_64 random_;
  std::deque<Seat> seats_;
  std::map<RequestId, int> classes_;
  std::deque<std::pair<Time, double>> sent_;  // in the window: time and work
  Time now_ = 1000 * kSecond, since_ = 0;
  RequestId ids_ = 0;
  long all_sent_ = 0;
  int all_held_before_ = 0;
  double worst_ = 0;
};

// Checks random tiers of 1 to 300 nodes and random sites; the seed makes the result deterministic.
void StaysInBudget(Case c) {
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
    EXPECT_LE(tier.Play(), 1.0) << "of the tolerated budget; seed " << seed << ", " << site.instances
                                << " nodes, " << site.slots << " slots, runs of " << site.run / kMs << " ms, "
                                << tier.sent() << " sent";
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
      EXPECT_LE(tier.Play(), 1.0) << "of the tolerated budget; seed " << seed << ", " << instances
                                  << " nodes, " << tier.sent() << " sent";
    }
}

TEST(SlowStart, BudgetHoldsWhereNobodyIsHeard) { StaysInBudget({}); }
TEST(SlowStart, BudgetHoldsWhereAllAreHeard) { StaysInBudget({.news = News::kAll}); }
TEST(SlowStart, BudgetHoldsWhereNewsStops) { StaysInBudget({.news = News::kLost}); }
TEST(SlowStart, BudgetHoldsWhenNodesBeginAnew) { StaysInBudget({.restarts = true}); }
TEST(SlowStart, BudgetHoldsWhenNodesThatAreHeardBeginAnew) {
  StaysInBudget({.news = News::kAll, .restarts = true});
}
TEST(SlowStart, BudgetHoldsWhenTheWorkerReturnsAtItsAddress) { StaysInBudget({.returns = true}); }
TEST(SlowStart, BudgetHoldsForJobsOfTwoSizes) { StaysInBudget({.mixed = true}); }
TEST(SlowStart, BudgetHoldsBeforeAnythingIsLearned) { StaysInBudget({.learned = false}); }

}  // namespace
}  // namespace rookgw::test
