// Dispatchers that lose their watches at one moment, before one discovery that serves calls in turn.
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
    all.push_back({AskAgain(dispatchers, ask_every, 1000 + i)});
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
    EXPECT_LE(AskAgain(3, kAskEvery, seed).Failed(), kSecond / 2);
}

TEST(AskAgain, HurriesAfterDiscoveryMovedUntilItHasSpoken) {
  AskAgain again(100, kAskEvery, 7);
  again.Hurry();
  EXPECT_LE(again.Failed(), 300 * kMillisecond);
  again.Spoke();
  Time most = 0;
  for (int i = 0; i < 20; ++i) most = std::max(most, again.Failed());
  EXPECT_GT(most, 2 * kSecond);
}

}  // namespace
}  // namespace lichenlug
