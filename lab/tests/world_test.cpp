// Tests days in virtual time: a seed determines the day, and rules that a policy breaks deliberately are
// detected and reproduced by a replay.
#include "lab/virtual/world.h"

#include <gtest/gtest.h>

#include "lab/config/day_file.h"
#include "lab/rules/checker.h"

namespace lichenlug::lab {
namespace {

Day DayNamed(const std::string& name) { return ReadDay(std::string(LAB_DAYS) + "/" + name + ".toml"); }

RunResult Play(const std::string& day, const std::string& policy, std::uint64_t seed) {
  return Testbed(DayNamed(day), policy, seed).Run();
}

struct RequestTotals {
  std::uint64_t events, arrivals, rule_checks;
  double g;
  bool operator==(const RequestTotals&) const = default;
};
RequestTotals Totals(const RunResult& r) { return {r.events, r.arrivals, r.rule_checks, r.score.g}; }

TEST(Testbed, SameSeedGivesSameDay) {
  const RunResult first = Play("everything", "module", 5), second = Play("everything", "module", 5);
  EXPECT_EQ(first.digest, second.digest);
  EXPECT_EQ(first.events, second.events);
  EXPECT_NE(first.digest, Play("everything", "module", 6).digest);
}

TEST(Testbed, ModuleKeepsRulesUnderAllFaults) {
  for (const char* day : {"everything", "partition", "storm", "roll", "shrink", "vanish"})
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      const RunResult r = Play(day, "module", seed);
      for (const auto& [rule, breach] : r.breaches)
        ADD_FAILURE() << "rule " << rule << ": " << breach.what << "; lichenlug-lab run lab/days/" << day
                      << ".toml --seed " << seed;
      EXPECT_TRUE(r.drained);
      EXPECT_GT(r.rule_checks, 5000u);
    }
}

TEST(Testbed, DetectsDeliberateBreachAndReplayReproducesIt) {
  for (int rule = 1; rule <= 4; ++rule) {
    const std::string policy = "broken-" + std::to_string(rule);
    const std::string day = rule == 2 ? "everything" : "shrink";
    const RunResult r = Play(day, policy, 2);
    ASSERT_TRUE(r.breaches.contains(rule)) << policy;
    const Breach again = Play(day, policy, 2).breaches.at(rule);
    EXPECT_EQ(again.at, r.breaches.at(rule).at);
    EXPECT_EQ(again.what, r.breaches.at(rule).what);
    EXPECT_EQ(again.history, r.breaches.at(rule).history);
  }
}

TEST(Testbed, OracleScoresHigherThanRandomChoice) {
  for (const char* day : {"calm", "busy", "slow"})
    EXPECT_GT(Play(day, "oracle", 1).score.g, Play(day, "random", 1).score.g + 0.1) << day;
}

TEST(Testbed, DayThatNeverDrainsIsEndedAndReported) {
  Day day = DayNamed("calm");
  day.length = 5 * kSecond;
  for (ClassModel& c : day.site.classes) c.deadline = 1000 * kSecond, c.work = 500 * kSecond;
  day.load = 30;
  const RunResult r = Testbed(day, "module", 1).Run();
  EXPECT_FALSE(r.drained);
}

TEST(Testbed, BoxLimitsConcurrentProbes) {
  Day day = DayNamed("calm");
  day.length = 6 * kSecond, day.site.dispatchers = 20, day.site.probe_work = 100 * kMillisecond;
  for (KindModel& k : day.site.kinds) k.max_probes = 1000;
  EXPECT_EQ(Testbed(day, "module", 1).Run().probes_refused, 0u);
  for (KindModel& k : day.site.kinds) k.max_probes = 1;
  EXPECT_GT(Testbed(day, "module", 1).Run().probes_refused, 50u);
}

TEST(Testbed, KeyThatNeedsMoreThanOneWalkUsesWholeRing) {
  Day day = DayNamed("calm");
  day.length = 8 * kSecond, day.load = 0.5;
  day.site.boxes = 600, day.site.zones = {"z"}, day.site.keys.count = 1, day.site.keys.setup = 0;
  // The score is 0.47 if the worker set is limited to one walk of the ring.
  EXPECT_GT(Testbed(day, "module", 1).Run().score.g, 0.75);
}

// The wire process hosts the same module and must make the same decisions. Digests differ because its first
// actions come with its first list.
TEST(Testbed, WireModulePlaysSameDay) {
  Day day = DayNamed("everything");
  day.site.reports_accepts = false;  // not supported by the wire protocol
  const RequestTotals own = Totals(Testbed(day, "module", 3).Run());
  EXPECT_EQ(own, Totals(Testbed(day, "wire:" LAB_WIREHOST, 3).Run()));
  EXPECT_GT(own.events, 50'000u);
}

TEST(Testbed, WireProcessThatEndsThrowsRuntimeError) {
  for (const char* command : {"wire:true", "wire:echo nonsense"})
    EXPECT_THROW(Testbed(DayNamed("calm"), command, 1).Run(), std::runtime_error) << command;
}

class CheckerTest : public testing::Test {
 protected:
  CheckerTest() {
    site.dispatchers = 1;
    ClassModel free, keyed, unsafe;
    free.name = "free", keyed.name = "keyed", unsafe.name = "unsafe";
    keyed.effect = rookgw::Effect::kKeyed, keyed.scope = rookgw::KeyScope::kCell, keyed.window = 2 * kSecond;
    unsafe.effect = rookgw::Effect::kUnsafe;
    site.classes = {free, keyed, unsafe};
    checker = std::make_unique<Checker>(site);
  }
  void Sends(int cls, rookgw::Outcome first, int second_cell, Time gap = 1000) {
    checker->Took(0, 0, 1, cls, 5 * kSecond);
    checker->Sent(0, 1, 0, 0, 0, 0);
    checker->Ended(500, 1, 0, first);
    checker->Sent(gap, 1, 1, 1, 0, second_cell);
  }
  bool Broken(int rule) const { return checker->first().contains(rule); }
  Site site;
  std::unique_ptr<Checker> checker;
};

TEST_F(CheckerTest, DetectsLateSecondAndMissingAnswer) {
  checker->Took(0, 0, 1, 0, kSecond);
  checker->Answered(kSecond + site.answer_slack, 1, Checker::Answer::kFailed);
  EXPECT_FALSE(Broken(1));
  checker->Took(0, 0, 2, 0, kSecond);
  checker->Answered(kSecond + site.answer_slack + 1, 2, Checker::Answer::kFailed);
  EXPECT_TRUE(Broken(1));
  checker = std::make_unique<Checker>(site);
  checker->Took(0, 0, 3, 0, kSecond);
  checker->Finish(kSecond);
  EXPECT_TRUE(Broken(1));
}

TEST_F(CheckerTest, DetectsRepeatsThatClassForbids) {
  using rookgw::Outcome;
  struct Case {
    int cls;
    Outcome first;
    int cell;
    Time gap;
    bool broken;
  };
  for (const Case& c : std::initializer_list<Case>{{0, Outcome::kReset, 1, 1000, false},
                                                   {1, Outcome::kReset, 0, 1000, false},
                                                   {1, Outcome::kReset, 1, 1000, true},
                                                   {1, Outcome::kReset, 0, 2 * kSecond, true},
                                                   {1, Outcome::kFull, 1, 1000, false},
                                                   {2, Outcome::kFull, 1, 1000, false},
                                                   {2, Outcome::kConnectFailed, 1, 1000, false},
                                                   {2, Outcome::kCancelled, 0, 1000, true},
                                                   {2, Outcome::kTimeout, 0, 1000, true}}) {
    checker = std::make_unique<Checker>(site);
    Sends(c.cls, c.first, c.cell, c.gap);
    EXPECT_EQ(Broken(2), c.broken) << c.cls << " after " << static_cast<int>(c.first);
  }
}

TEST_F(CheckerTest, DetectsUnsafeJobRunTwiceAfterDispatcherRestart) {
  checker->Ran(0, 77, 1, 2, 0, 0, 0);
  checker->Restarted(0);
  checker->Ran(5, 77, 2, 2, 1, 0, 0);
  EXPECT_TRUE(Broken(2));
}

TEST_F(CheckerTest, AllowsOnlyTheGracePeriodAfterDrain) {
  using State = rookgw::ListedWorker::State;
  checker->Told(0, 0, 4, State::kDraining);
  checker->Told(400 * kMillisecond, 0, 4, State::kGone);  // the first notice counts
  checker->Took(0, 0, 1, 0, 5 * kSecond);
  checker->Sent(site.drain_grace, 1, 0, 4, 0, 0);
  EXPECT_FALSE(Broken(3));
  checker->Ended(site.drain_grace, 1, 0, rookgw::Outcome::kFull);
  checker->Sent(site.drain_grace + 1, 1, 1, 4, 0, 0);
  EXPECT_TRUE(Broken(3));
}

}  // namespace
}  // namespace lichenlug::lab
