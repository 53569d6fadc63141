// The laboratory of failure detectors: the same seed is the same day, each fault really comes about, and
// detectors that are wrong on purpose are found out.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "lab/membership/days.h"
#include "lab/membership/heartbeat.h"
#include "lab/membership/rumours.h"
#include "lab/membership/table.h"

namespace lichenlug::lab {
namespace {

constexpr int kSize = 12;

MakeDetector Heartbeats(Time time_out, bool declares = true) {
  Heartbeat::Settings settings;
  settings.time_out = time_out, settings.declares = declares;
  return [settings](const Seat& seat, Time now) { return std::make_unique<Heartbeat>(settings, seat, now); };
}

Verdict Play(const std::string& day, const MakeDetector& make, std::uint64_t seed = 1) {
  return PlayDay(kSize, FaultDay(day, kSize, seed), seed, make);
}

// Counts what arrives and how late its loop runs; tells one peer a numbered word each 100 ms.
class Probe : public Detector {
 public:
  struct Record {
    Time at, gap;  // gap: since the turn before
    int peer, number;
    bool refused;
  };
  Probe(const Seat& seat, std::vector<Record>* heard, Time now)
      : seat_(seat), heard_(heard), due_(now), turn_(now) {
    view_.own = seat.number;
    for (int n = 0; n < seat.tier; ++n) view_.members.push_back({n, -1, MemberStatus::kAlive, 0});
  }
  Time DueAt() const override { return due_; }
  std::vector<Datagram> MakeDatagrams(Time now) override {
    due_ = now + 100 * kMillisecond;
    std::string body;
    Put(&body, static_cast<std::uint64_t>(++told_), 4);
    return {{(seat_.number + 1) % seat_.tier, body}};
  }
  bool HandleMessage(int peer, std::string_view body, Time now) override {
    heard_[seat_.number].push_back({now, gap_, peer, static_cast<int>(*Get(&body, 4)), false});
    return true;
  }
  void Refused(int peer, Time now) override { heard_[seat_.number].push_back({now, 0, peer, 0, true}); }
  void Beat(Time now) override { gap_ = now - turn_, turn_ = now; }
  void Leave(Time) override {}
  const TierView& View() const override { return view_; }

 private:
  const Seat seat_;
  std::vector<Record>* heard_;
  Time due_, turn_, gap_ = 0;
  int told_ = 0;
  TierView view_;
};

struct Heard {
  std::vector<Probe::Record> by[3];

  explicit Heard(std::vector<Fault> faults) {
    Net net(3, 3, 7, [this](const Seat& seat, Time now) { return std::make_unique<Probe>(seat, by, now); });
    const Day day{"own", 20 * kSecond, 0, std::move(faults)};
    Judge judge(&net, 0);
    net.Play(day, &judge);
  }
  // What member `m` heard from the 5th to the 10th second: the time of each fault here.
  std::vector<Probe::Record> In(int m) const {
    std::vector<Probe::Record> records;
    std::ranges::copy_if(by[m], std::back_inserter(records), [](const Probe::Record& it) {
      return it.at >= Net::kEpoch + 5 * kSecond && it.at < Net::kEpoch + 10 * kSecond;
    });
    return records;
  }
};

Fault From5To10(Fault::Kind kind, int a = -1, int b = -1, double amount = 0) {
  return {kind, 5 * kSecond, 5 * kSecond, a, b, amount};
}

TEST(MembershipLab, OneSeedOneDigest) {
  for (const std::string& name : DetectorNames()) {
    const std::uint64_t once = Play("everything", DetectorNamed(name)).digest;
    EXPECT_EQ(once, Play("everything", DetectorNamed(name)).digest) << name;
    EXPECT_NE(once, Play("everything", DetectorNamed(name), 2).digest) << name;
  }
}

TEST(MembershipLab, ThreadsChangeNothing) {
  MembersPlan plan{{kSize}, {"everything"}, {"swim", "phi"}, 1, 3, 1};
  const std::string alone = MembersTable(plan, PlayMembers(plan, [](std::size_t, std::size_t) {}));
  plan.threads = 3;
  EXPECT_EQ(alone, MembersTable(plan, PlayMembers(plan, [](std::size_t, std::size_t) {})));
}

TEST(MembershipLab, OneThatDeclaresAtTheFirstMissedBeatIsFoundOut) {
  const MakeDetector hasty = Heartbeats(600 * kMillisecond), patient = Heartbeats(20 * kSecond);
  for (const char* day : {"pauses", "loss30", "one-way", "ring-of-three", "everything"}) {
    const Verdict verdict = Play(day, hasty);
    EXPECT_GT(verdict.wrong_members, 0U) << day;
    EXPECT_GT(verdict.flaps, 0U) << day;
    EXPECT_EQ(Play(day, patient).wrong_for_all, 0U) << day;
  }
  EXPECT_EQ(Play("calm", hasty).wrong_members, 0U);
  EXPECT_GT(Play("pauses", hasty).wrong_for_all, 0U);
}

TEST(MembershipLab, WhatNobodyOfAPartHearsIsNoError) {
  const Verdict verdict = Play("split-heal", Heartbeats(2900 * kMillisecond));
  EXPECT_EQ(verdict.wrong_members, 0U);
  EXPECT_EQ(verdict.beyond_a_cut, 2U * 4 * 8);  // each of both parts, of each of the other
  ASSERT_EQ(verdict.agreements.size(), 1U);
  EXPECT_LT(verdict.agreements[0], 1000);
}

TEST(MembershipLab, OneThatNeverDeclaresIsFoundOut) {
  for (const char* day : {"deaths", "vanish"}) {
    const Verdict verdict = Play(day, Heartbeats(kSecond, false));
    ASSERT_FALSE(verdict.deaths.empty());
    EXPECT_EQ(*std::ranges::min_element(verdict.deaths), Verdict::kNever) << day;
  }
  EXPECT_EQ(Play("churn", Heartbeats(kSecond, false)).agreements.size(), 1U);
}

TEST(MembershipLab, LossAndCopiesAndOrder) {
  const auto calm = Heard({}).In(1).size();
  EXPECT_NEAR(static_cast<double>(calm), 50, 2);
  EXPECT_LT(Heard({From5To10(Fault::Kind::kLoss, -1, -1, 0.5)}).In(1).size(), calm * 7 / 10);
  EXPECT_LT(Heard({From5To10(Fault::Kind::kLinkLoss, 0, 1, 0.8)}).In(1).size(), calm / 2);
  EXPECT_EQ(Heard({From5To10(Fault::Kind::kLinkLoss, 0, 1, 0.8)}).In(2).size(), Heard({}).In(2).size());
  EXPECT_GT(Heard({From5To10(Fault::Kind::kCopies, -1, -1, 0.5)}).In(1).size(), calm * 13 / 10);
  const auto mixed = Heard({From5To10(Fault::Kind::kReorder, -1, -1, 0.5)}).In(1);
  EXPECT_FALSE(std::ranges::is_sorted(mixed, {}, &Probe::Record::number));
}

TEST(MembershipLab, CutsAreOneWay) {
  EXPECT_TRUE(Heard({From5To10(Fault::Kind::kCut, 0, 1)}).In(1).empty());
  EXPECT_FALSE(Heard({From5To10(Fault::Kind::kCut, 1, 0)}).In(1).empty());
  EXPECT_TRUE(Heard({From5To10(Fault::Kind::kZoneCut, 0, 1)}).In(1).empty());
  EXPECT_FALSE(Heard({From5To10(Fault::Kind::kZoneCut, 1, 0)}).In(1).empty());
  const Heard deaf({From5To10(Fault::Kind::kCut, -1, 1)});
  EXPECT_TRUE(deaf.In(1).empty());
  EXPECT_FALSE(deaf.In(2).empty());
  EXPECT_FALSE(
      std::ranges::none_of(deaf.by[1], [](const auto& it) { return it.at > Net::kEpoch + 11 * kSecond; }));
}

TEST(MembershipLab, APauseHandsOverWhatWaitedAtOnce) {
  const Heard heard({{Fault::Kind::kPause, 5 * kSecond, 3 * kSecond, 1}});
  const auto records = heard.In(1);
  const Time woke = Net::kEpoch + 8 * kSecond;
  EXPECT_EQ(std::ranges::count_if(records, [&](const auto& it) { return it.at < woke; }), 0);
  const auto at_once = std::ranges::count_if(records, [&](const auto& it) { return it.at == woke; });
  EXPECT_NEAR(static_cast<double>(at_once), 30, 2);
  EXPECT_GE(records[0].gap, 2900 * kMillisecond);
}

TEST(MembershipLab, ASlowOneHandlesEachLate) {
  const Time usual = Heard({}).In(1)[10].at, late = Heard({From5To10(Fault::Kind::kSlow, 1)}).In(1)[10].at;
  EXPECT_GT(late - usual, 50 * kMillisecond);
}

TEST(MembershipLab, AnAddressRefusesOnlyWhereAProcessEnded) {
  const auto refused = [](const Heard& heard) {
    return std::ranges::count_if(heard.by[0], [](const auto& it) { return it.refused; });
  };
  EXPECT_GT(refused(Heard({{Fault::Kind::kDie, 5 * kSecond, 0, 1}})), 100);
  EXPECT_EQ(refused(Heard({{Fault::Kind::kVanish, 5 * kSecond, 0, 1}})), 0);
  EXPECT_EQ(refused(Heard({From5To10(Fault::Kind::kPause, 1)})), 0);
  EXPECT_EQ(refused(Heard({{Fault::Kind::kDie, 5 * kSecond, 0, 1}, {Fault::Kind::kCut, 0, 0, 1, 0}})), 0);
  const auto restarted = refused(Heard({{Fault::Kind::kRestart, 5 * kSecond, kSecond, 1}}));
  EXPECT_GT(restarted, 5);
  EXPECT_LT(restarted, 12);
}

TEST(MembershipLab, RumoursOfALifeMergeInAnyOrder) {
  const std::vector<Rumour> told = {
      {1, MemberStatus::kAlive, 0, 0, 50},     {1, MemberStatus::kSuspected, 0, 2, 50},
      {1, MemberStatus::kAlive, 1, 0, 50},     {1, MemberStatus::kDead, 1, 0, 50},
      {1, MemberStatus::kSuspected, 1, 0, 50}, {1, MemberStatus::kDead, 9, 0, 40}};
  std::vector<std::size_t> order(told.size());
  std::iota(order.begin(), order.end(), 0U);
  do {
    Rumours rumours({0, 3, -1, 1'000'000, 1}, 1);
    for (std::size_t i : order) rumours.Take(told[i]);
    ASSERT_EQ(rumours.Of(1).status, MemberStatus::kDead);
    ASSERT_EQ(rumours.Of(1).life, 50U);
  } while (std::ranges::next_permutation(order).found);
}

}  // namespace
}  // namespace lichenlug::lab
