// Dispatchers that lose their watches at one moment, before one discovery that serves calls in turn;
// watches that fall silent.
#include "routes/ask_again.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace lichenlug {
namespace {

constexpr Time kAskEvery = 10 * kSecond;

struct Outage {
  int served = 0;        // of the dispatchers, by the end
  Time longest_gap = 0;  // between two calls of one dispatcher, or from the loss to the first
};

// All watches end at 0. A call takes 60 ms of the one server, waits in turn, and fails after 2 s of waiting;
// a call that failed has taken its turn all the same, as its connection was accepted and read.
Outage Play(int dispatchers, Time down_for, Time until, Time ask_every) {
  struct One {
    AskAgain again;
    Time last = 0;
  };
  std::vector<One> all;
  std::set<std::pair<Time, int>> calls;
  Outage outage;
  for (int i = 0; i < dispatchers; ++i) {
    all.push_back({AskAgain(dispatchers, false, ask_every, 1000 + i)});
    calls.insert({all.back().again.Failed(), i});
  }
  Time free_at = 0;
  while (!calls.empty() && calls.begin()->first < until) {
    const auto [at, i] = *calls.begin();
    calls.erase(calls.begin());
    outage.longest_gap = std::max(outage.longest_gap, at - std::exchange(all[i].last, at));
    const bool down = at < down_for;
    if (!down) free_at = std::max(free_at, at) + 60 * kMillisecond;
    if (!down && free_at - at <= 2 * kSecond)
      ++outage.served;
    else
      calls.insert({at + (down ? 0 : 2 * kSecond) + all[i].again.Failed(), i});
  }
  return outage;
}

TEST(AskAgain, HundredDispatchersAllGetTheListSoonAfterAnOutage) {
  EXPECT_EQ(Play(100, kSecond, 16 * kSecond, kAskEvery).served, 100);
  EXPECT_EQ(Play(100, 5 * kSecond, 20 * kSecond, kAskEvery).served, 100);
}

TEST(AskAgain, NeverWaitsSoLongThatUnknownNewsCountsAsTold) {
  for (int dispatchers : {1, 3, 30, 100, 1000})
    EXPECT_LT(Play(dispatchers, 60 * kSecond, 60 * kSecond, kAskEvery).longest_gap + AskAgain::kCallPatience,
              kAskEvery)
        << dispatchers;
}

TEST(AskAgain, SmallTiersAskAgainWithinHalfASecond) {
  for (std::uint64_t seed = 1; seed < 50; ++seed)
    EXPECT_LE(AskAgain(3, false, kAskEvery, seed).Failed(), kSecond / 2);
}

TEST(AskAgain, HurriesAfterDiscoveryMovedUntilItHasSpoken) {
  AskAgain again(100, false, kAskEvery, 7);
  again.Hurry();
  EXPECT_LE(again.Failed(), 300 * kMillisecond);
  again.Spoke();
  Time most = 0;
  for (int i = 0; i < 20; ++i) most = std::max(most, again.Failed());
  EXPECT_GT(most, 2 * kSecond);
}

// A watch falls silent right after a heartbeat: what it misses counts as told 6 s later.
constexpr Time kTold = 6 * kSecond;

// When the call that follows a silence at 0 begins, and the one after it, should the first come to nothing.
struct Calls {
  Time first = 0, second = 0;
};

Calls AfterSilence(AskAgain* again, bool connects) {
  const Time noticed = again->BeatBy(0);
  Calls calls;
  calls.first = again->Silent(0, noticed);
  const Time lost = connects ? again->FirstByteBy(calls.first) : again->ConnectBy(calls.first);
  calls.second = lost + again->Failed();
  return calls;
}

TEST(AskAgain, ASilenceLeavesTimeForTwoCallsWhateverTheTier) {
  for (int dispatchers : {1, 3, 30, 300, 1000})
    for (std::uint64_t seed = 1; seed < 200; ++seed)
      for (bool connects : {true, false}) {
        AskAgain again(dispatchers, false, kAskEvery, seed);
        for (int i = 0; i < 50; ++i) again.Failed(), again.Spoke();
        const Calls calls = AfterSilence(&again, connects);
        EXPECT_GT(calls.first, 2 * kSecond) << "a heartbeat may still come";
        EXPECT_LE(calls.second, kTold - kSecond) << dispatchers << " " << seed;
      }
}

TEST(AskAgain, SilenceThatGoesOnAfterTwoCallsIsAnOutage) {
  AskAgain again(300, false, kAskEvery, 7);
  AfterSilence(&again, false);
  EXPECT_GT(again.Failed(), kSecond / 2);
  again.Spoke();
  EXPECT_LE(AfterSilence(&again, false).second, kTold - kSecond) << "a later silence has two calls again";
}

TEST(AskAgain, LateHeartbeatsAreWaitedForLongerAndTheTwoCallsStillFit) {
  AskAgain again(300, false, kAskEvery, 7);
  for (int i = 0; i < 10; ++i) again.Silent(0, again.BeatBy(0)), again.Woke();
  EXPECT_GT(again.BeatBy(0), 3 * kSecond);
  EXPECT_LE(AfterSilence(&again, false).second, kTold - kSecond / 2);
  for (int i = 0; i < 200; ++i) again.BeatBy(0);
  EXPECT_EQ(again.BeatBy(0), AskAgain::kQuiet);
}

// 300 watches whose heartbeats came at any time of the last 2 s fall silent at once; discovery takes 15 ms a
// call.
TEST(AskAgain, ThreeHundredThatFallSilentTogetherAreServedInTime) {
  std::multiset<Time> calls;
  for (int i = 0; i < 300; ++i) {
    AskAgain again(300, false, kAskEvery, 1000 + i);
    const Time last = -(i * 7919 % 2000) * kMillisecond;
    calls.insert(again.Silent(last, last + AskAgain::kQuiet));
  }
  Time free_at = 0;
  for (const Time at : calls) {
    free_at = std::max(free_at, at) + 15 * kMillisecond;
    EXPECT_LT(free_at - at, AskAgain::kFirstPatience);
  }
  EXPECT_LT(free_at, kTold);
}

TEST(AskAgain, AnAgentIsAskedAgainBeforeADrainItHasIsDue) {
  constexpr Time kGrace = kSecond / 2;
  for (int dispatchers : {1, 300})
    for (std::uint64_t seed = 1; seed < 200; ++seed) {
      AskAgain again(dispatchers, true, 0, seed);
      for (int i = 0; i < 20; ++i)  // through an outage of any length
        EXPECT_LT(again.FirstByteBy(0) + again.Failed(), kGrace - 50 * kMillisecond);
      EXPECT_LE(AfterSilence(&again, true).second, 4 * kSecond);
    }
}

}  // namespace
}  // namespace lichenlug
