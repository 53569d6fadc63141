// What dispatchers tell one another: sums at runners, through loss, copies, restarts, lies and rubbish; and
// what the decisions make of it.
#include "peers/holdings.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <variant>

#include "rookgw/brain.h"

namespace lichenlug {
namespace {

struct Heard : HoldingsHeard {
  std::map<std::string, int> held;
  int failing = 0;
  void Held(const std::string& runner, int slots) override { held[runner] = slots; }
  void Failing(const std::string&, int) override { ++failing; }
};

struct One {
  Heard heard;
  Holdings holdings;
  explicit One(std::uint64_t seed, int zone = Holdings::kNoZone) : holdings(seed, zone, &heard) {
    for (const char* runner : {"r1", "r2", "r3"}) holdings.Name(runner, 0);
  }
  bool Hear(int peer, const std::string& bytes, Time now) {
    bool greet = false;
    return holdings.Hear(peer, bytes, now, &greet);
  }
};

TEST(Holdings, AddsUpWhatPeersHold) {
  One a(1), b(2), c(3);
  a.holdings.Hold("r1", 2, 1), b.holdings.Hold("r1", 1, 1), b.holdings.Hold("r2", 1, 1);
  for (const auto& d : a.holdings.Tell(1)) EXPECT_TRUE(c.Hear(0, d.bytes, 1));
  for (const auto& d : b.holdings.Tell(1)) EXPECT_TRUE(c.Hear(1, d.bytes, 1));
  EXPECT_EQ(c.heard.held, (std::map<std::string, int>{{"r1", 3}, {"r2", 1}}));
}

TEST(Holdings, EndsWaitForCompanyAndSendsDoNot) {
  One a(1);
  a.holdings.Hold("r1", 1, 1000);
  EXPECT_EQ(a.holdings.DueAt(), 1000);
  EXPECT_EQ(a.holdings.Tell(1000).at(0).bytes.size(), 3u);
  a.holdings.Hold("r1", -1, 2000);
  EXPECT_EQ(a.holdings.DueAt(), 2000 + Holdings::kGatherEnds);
  EXPECT_TRUE(a.holdings.Tell(2000).empty());
  a.holdings.Hold("r2", 1, 3000);
  EXPECT_EQ(a.holdings.Tell(3000).at(0).bytes.size(), 5u);
  EXPECT_EQ(a.holdings.DueAt(), 0);
}

TEST(Holdings, LossIsMadeGoodByTheNextWordAndCopiesChangeNothing) {
  One a(1), b(2);
  a.holdings.Hold("r1", 1, 1);
  (void)a.holdings.Tell(1);  // lost
  a.holdings.Hold("r1", 1, kSecond);
  const std::string bytes = a.holdings.Tell(kSecond).at(0).bytes;
  b.Hear(0, bytes, kSecond), b.Hear(0, bytes, kSecond);
  EXPECT_EQ(b.heard.held["r1"], 2);
}

TEST(Holdings, AnOvertakenDatagramIsOlderNews) {
  One a(1), b(2);
  a.holdings.Hold("r1", 1, 1);
  const std::string first = a.holdings.Tell(1).at(0).bytes;
  a.holdings.Hold("r1", 1, 5);
  const std::string second = a.holdings.Tell(5).at(0).bytes;
  EXPECT_TRUE(b.Hear(0, second, 10));
  EXPECT_FALSE(b.Hear(0, first, 20));
  EXPECT_EQ(b.heard.held["r1"], 2);
}

TEST(Holdings, ANewLifeTakesBackWhatTheOldOneSaidAndIsGreeted) {
  One old(1), fresh(2), b(3);
  old.holdings.Hold("r1", 4, 1);
  b.Hear(0, old.holdings.Tell(1).at(0).bytes, 1);
  EXPECT_EQ(b.heard.held["r1"], 4);
  bool greet = false;
  b.holdings.Hear(0, fresh.holdings.Greeting(), 1000, &greet);
  EXPECT_TRUE(greet);
  EXPECT_EQ(b.heard.held["r1"], 0);
}

TEST(Holdings, WhatAVanishedPeerSaidFades) {
  One a(1), b(2);
  a.holdings.Hold("r1", 1, 1);
  b.Hear(0, a.holdings.Tell(1).at(0).bytes, 1);
  b.holdings.Fade(Holdings::kFade - 1);
  EXPECT_EQ(b.heard.held["r1"], 1);
  b.holdings.Fade(Holdings::kFade + 1);
  EXPECT_EQ(b.heard.held["r1"], 0);
}

TEST(Holdings, OneAccuserIsNotBelievedTwoAre) {
  One a(1), b(2), c(3);
  for (int i = 1; i <= 5; ++i) {
    a.holdings.Failed("r1", 1, i * kSecond);
    for (const auto& d : a.holdings.Tell(i * kSecond)) c.Hear(0, d.bytes, i * kSecond);
  }
  EXPECT_EQ(c.heard.failing, 0);
  b.holdings.Failed("r1", 1, 6 * kSecond);
  for (const auto& d : b.holdings.Tell(6 * kSecond)) c.Hear(1, d.bytes, 6 * kSecond);
  EXPECT_EQ(c.heard.failing, 1);
}

TEST(Holdings, ALyingPeerAddsABoundedNumber) {
  One a(1), b(2);
  a.holdings.Hold("r1", 1e6, 1);
  b.Hear(0, a.holdings.Tell(1).at(0).bytes, 1);
  EXPECT_EQ(b.heard.held["r1"], 11);
}

TEST(Holdings, TellsOnlyTheRunnersZone) {
  One a(1, 0);
  a.holdings.Name("far", 2);
  a.holdings.Hold("r1", 1, 1), a.holdings.Hold("far", 1, 1);
  const auto told = a.holdings.Tell(1);
  ASSERT_EQ(told.size(), 2u);
  EXPECT_EQ(told[0].zone, 0);
  EXPECT_EQ(told[1].zone, 2);
}

TEST(Holdings, RubbishIsDroppedCountedAndHarmless) {
  One b(2);
  std::mt19937_64 random(7);
  std::size_t refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes(random() % 300, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    refused += !b.Hear(static_cast<int>(random() % 100), bytes, i * 1000);
    for (const auto& [runner, slots] : b.heard.held) ASSERT_GE(slots, 0) << runner;
  }
  EXPECT_EQ(b.holdings.dropped(), refused);
  EXPECT_FALSE(b.Hear(0, "", 1));
  b.holdings.Fade(20000 * 1000 + Holdings::kFade);
  for (const auto& [runner, slots] : b.heard.held) EXPECT_EQ(slots, 0) << runner;
}

// A hundred nodes with one old report: what the others hold keeps this one from the runner that looks free.
TEST(Elsewhere, ANodeDoesNotCrowdARunnerThatOthersHaveFilled) {
  rookgw::Settings s;
  s.instances = 100, s.max_attempts = 2, s.probes = true, s.reports_slots = true;
  s.reports = rookgw::Settings::Reports::kProbe;
  s.classes.push_back({.name = "c", .aim = 300000, .deadline = 5000000});
  rookgw::LoadReport idle;
  idle.free_slots = 5, idle.active = 0;
  rookgw::RequestArrived job;
  job.id = 1, job.key = 7, job.valid_until = 5000000;
  const auto first_choice = [&](double elsewhere_at_home, std::string but) {
    rookgw::Brain brain(s, 1);
    std::vector<rookgw::Action> actions;
    brain.Start(1, &actions);
    const std::vector<rookgw::ListedWorker> list{{.id = "r1"}, {.id = "r2"}};
    brain.Handle(2, rookgw::ListChanged{rookgw::ListChanged::Form::kWhole, 1, list}, &actions);
    for (const char* id : {"r1", "r2"}) brain.Handle(3, rookgw::ProbeEnded{id, true, 1, idle}, &actions);
    if (!but.empty()) brain.Handle(4, rookgw::Elsewhere{but, elsewhere_at_home}, &actions);
    actions.clear();
    brain.Handle(5, job, &actions);
    for (const auto& action : actions)
      if (const auto* sent = std::get_if<rookgw::Dispatch>(&action)) return sent->worker;
    return std::string();
  };
  const std::string home = first_choice(0, "");
  ASSERT_FALSE(home.empty());
  EXPECT_EQ(first_choice(4, home), home);
  EXPECT_EQ(first_choice(5, home), home == "r1" ? "r2" : "r1");
}

}  // namespace
}  // namespace lichenlug
