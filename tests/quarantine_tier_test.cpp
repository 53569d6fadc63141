// Quarantine over a tier: bounded harm, single trials and durable decisions under random schedules of message
// loss, partitions, pauses, crashes and recovery.
#include <gtest/gtest.h>

#include "quarantine_world.h"

namespace lichenlug {
namespace {

constexpr int kSchedules = 10000;
const Job kPoison = JobNamed("bad");

// Clients submit the poison job at all dispatchers for `span`. Returns the number of runs that were started.
int SubmitFor(SimulatedTier* tier, Time span, Outcome outcome) {
  const int before = tier->runners;
  for (const Time end = tier->now + span; tier->now < end; tier->Step())
    for (int i = 0; i < tier->size(); ++i)
      if (tier->Awake(i) && tier->Draw(3) == 0) tier->Submit(i, kPoison, outcome);
  return tier->runners - before;
}

// One dispatcher runs the job, and its bad end is gossiped to the tier.
void FirstEvidence(SimulatedTier* tier) {
  tier->Submit(tier->Draw(tier->size()), kPoison, Outcome::kDied);
  tier->Advance(6 * kSecond);
}

int HomeOfPoison(SimulatedTier* tier) {
  return tier->at(tier->DrawAwake()).table().Find(kPoison.fingerprint)->home;
}

void Heal(SimulatedTier* tier) {
  tier->loss = 0;
  for (int i = 0; i < tier->size(); ++i) {
    if (!tier->node(i).alive) tier->Start(i);
    tier->SetPartition(i, 0);
  }
  tier->Advance(15 * kSecond);
}

void ExpectStateOnAll(SimulatedTier* tier, State state, int seed) {
  for (int i = 0; i < tier->size(); ++i)
    ASSERT_EQ(tier->StateAt(i, kPoison), state) << "at " << i << " seed " << seed;
}

TEST(QuarantineTier, LostRunnersAreBoundedWhateverHappensToTheHome) {
  int worst = 0, worst_cut = 0;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    SimulatedTier tier(3 + seed % 4, static_cast<std::uint64_t>(seed));
    tier.loss = 0.3 * (seed % 3) / 2;
    FirstEvidence(&tier);
    int runners_lost = 1;
    runners_lost += SubmitFor(&tier, tier.Draw(25) * SimulatedTier::kStep, Outcome::kDied);
    const int fault = tier.Draw(4), home = HomeOfPoison(&tier);
    if (fault == 1) tier.Kill(home);
    if (fault == 2) tier.Pause(home, (5 + tier.Draw(60)) * SimulatedTier::kStep);
    if (fault == 3)
      for (int i = 0; i < tier.size(); i += 2) tier.SetPartition(i, 1);
    runners_lost += SubmitFor(&tier, 15 * kSecond, Outcome::kDied);
    (fault == 3 ? worst_cut : worst) = std::max(fault == 3 ? worst_cut : worst, runners_lost);
    ASSERT_LE(runners_lost, fault == 3 ? 6 : 3) << "seed " << seed << " fault " << fault;
    if (seed % 10 == 0) {
      Heal(&tier);
      SubmitFor(&tier, 5 * kSecond, Outcome::kDied);
      tier.Advance(5 * kSecond);
      ExpectStateOnAll(&tier, State::kQuarantined, seed);
    }
    ASSERT_EQ(tier.oversized, 0u);
  }
  EXPECT_GE(worst, 2);
  EXPECT_GE(worst_cut, 3);
}

TEST(QuarantineTier, ReleasePermitsOneTrialPerTierAndAtMostOnePerPartition) {
  for (int seed = 1; seed <= kSchedules; ++seed) {
    SimulatedTier tier(3 + seed % 4, static_cast<std::uint64_t>(seed));
    FirstEvidence(&tier);
    SubmitFor(&tier, 6 * kSecond, Outcome::kDied);
    tier.loss = 0.3 * (seed % 3) / 2;
    const int fault = tier.Draw(4), home = HomeOfPoison(&tier);
    const bool works = tier.Draw(2) == 0;
    tier.at(tier.Draw(tier.size())).Release(kPoison.tenant, kPoison.fingerprint, tier.now);
    tier.Advance(tier.Draw(20) * SimulatedTier::kStep);
    int trials =
        SubmitFor(&tier, tier.Draw(20) * SimulatedTier::kStep, works ? Outcome::kSucceeded : Outcome::kDied);
    if (works && trials > 0) continue;  // cleared: runs are no longer limited
    if (fault == 1) tier.Kill(home);
    if (fault == 2) tier.Pause(home, (5 + tier.Draw(60)) * SimulatedTier::kStep);
    if (fault == 3)
      for (int i = 0; i < tier.size(); i += 2) tier.SetPartition(i, 1);
    trials += SubmitFor(&tier, 20 * kSecond, Outcome::kDied);
    ASSERT_LE(trials, fault == 3 ? 2 : 1) << "seed " << seed << " fault " << fault;
  }
}

TEST(QuarantineTier, DecisionHeldByTwoDispatchersSurvivesACrash) {
  int acknowledged = 0;
  for (int seed = 1; seed <= kSchedules / 5; ++seed) {
    SimulatedTier tier(4 + seed % 4, static_cast<std::uint64_t>(seed));
    FirstEvidence(&tier);
    SubmitFor(&tier, 6 * kSecond, Outcome::kDied);
    tier.loss = 0.5 * (seed % 3) / 2;
    const int taker = tier.Draw(tier.size()), other = (taker + 1) % tier.size();
    const std::uint32_t until = UnixSeconds(tier.now) + 3600;
    if (seed % 2 == 0) {  // release and discard in different partitions
      tier.SetPartition(taker, 1), tier.SetPartition((taker + 2) % tier.size(), 1);
      tier.Advance(3 * kSecond);
      tier.at(other).Release(kPoison.tenant, kPoison.fingerprint, tier.now);
    }
    tier.at(taker).Discard(kPoison.tenant, kPoison.fingerprint, until, tier.now);
    tier.Advance(tier.Draw(8) * SimulatedTier::kStep);
    const auto again = tier.at(taker).Discard(kPoison.tenant, kPoison.fingerprint, until, tier.now);
    if (again.holders < 2) continue;
    ++acknowledged;
    tier.Kill(taker);
    tier.Advance(tier.Draw(30) * SimulatedTier::kStep);
    Heal(&tier);
    if (seed % 3 == 0)  // rolling restart
      for (int i = 0; i < tier.size(); ++i) tier.Start(i), tier.Advance(5 * kSecond);
    ExpectStateOnAll(&tier, State::kDiscarded, seed);
  }
  EXPECT_GT(acknowledged, kSchedules / 20);
}

TEST(QuarantineTier, ConcurrentSubmissionsAtManyDispatchersLoseNoMoreRunners) {
  SimulatedTier tier(60, 3);
  tier.Submit(17, kPoison, Outcome::kDied);
  while (!tier.runs.empty()) tier.Step();
  tier.Advance(3 * SimulatedTier::kStep);  // the evidence has spread
  EXPECT_LE(1 + SubmitFor(&tier, 60 * kSecond, Outcome::kDied), 3);
}

TEST(QuarantineTier, RestartedDispatcherReceivesAllTicketsAndIdleTierSendsLittle) {
  SimulatedTier tier(4, 9);
  std::vector<Job> jobs;
  for (int i = 0; i < 300; ++i) {
    jobs.push_back(JobNamed("o" + std::to_string(i)));
    for (int r = 0; r < 3; ++r)
      tier.at(0).Ended(jobs.back(), {.name = std::to_string(i * 3 + r), .life = 1, .zone = i % 50},
                       Outcome::kDied, tier.now);
    tier.Advance(400 * SimulatedTier::kStep / 300);
  }
  tier.Advance(60 * kSecond);
  tier.Kill(3);
  tier.Start(3);
  tier.Advance(30 * kSecond);
  EXPECT_EQ(tier.at(3).table().all().size(), tier.at(0).table().all().size());
  const std::uint64_t before = tier.bytes;
  tier.Advance(100 * kSecond);
  EXPECT_LT(static_cast<double>(tier.bytes - before) / 100 / tier.size(), 500);  // bytes a second per member
}

}  // namespace
}  // namespace lichenlug
