// The backoff of watches: many dispatchers that lose their watches at once, with a discovery service that
// processes calls sequentially, and watches that fall silent.
#include "routes/watch_backoff.h"

#include <gtest/gtest.h>

#include <deque>
#include <set>
#include <tuple>
#include <vector>

namespace lichenlug {
namespace {

constexpr Time kPollInterval = 10 * kSecond;
// How long after a watch fell silent, or after discovery had an update and was reachable, the update must be
// known.
constexpr Time kTold = 6 * kSecond;
constexpr std::size_t kNoCall = -1;

struct Outage {
  int served = 0;        // dispatchers that were served by the end
  Time longest_gap = 0;  // between two calls of one dispatcher, or from the loss to its first call
};

// All watches end at 0. The server processes calls sequentially, 60 ms each; a call fails after waiting for 2
// s, but still takes its processing time, as its connection was accepted and read.
Outage Play(int dispatchers, Time down_for, Time until, Time poll_interval) {
  struct One {
    WatchBackoff again;
    Time last = 0;
  };
  std::vector<One> all;
  std::set<std::pair<Time, int>> calls;
  Outage outage;
  for (int i = 0; i < dispatchers; ++i) {
    all.push_back({WatchBackoff(dispatchers, false, poll_interval, 1000 + i)});
    calls.insert({all.back().again.Failed(), i});
  }
  Time free_at = 0;
  while (!calls.empty() && calls.begin()->first < until) {
    const auto [at, i] = *calls.begin();
    calls.erase(calls.begin());
    outage.longest_gap = std::max(outage.longest_gap, at - std::exchange(all[i].last, at));
    const bool down = at < down_for;
    if (!down) free_at = std::max(free_at, at) + 60 * kMillisecond;
    if (down)
      calls.insert({at + all[i].again.Failed(), i});
    else if (free_at - at <= 2 * kSecond)
      ++outage.served;
    else
      calls.insert({at + 2 * kSecond + all[i].again.Overloaded(2 * kSecond), i});
  }
  return outage;
}

TEST(WatchBackoff, HundredDispatchersAllGetTheListSoonAfterAnOutage) {
  EXPECT_EQ(Play(100, kSecond, 16 * kSecond, kPollInterval).served, 100);
  EXPECT_EQ(Play(100, 5 * kSecond, 20 * kSecond, kPollInterval).served, 100);
}

TEST(WatchBackoff, NeverWaitsSoLongThatUnknownNewsCountsAsTold) {
  for (int dispatchers : {1, 3, 30, 100, 1000})
    EXPECT_LT(
        Play(dispatchers, 60 * kSecond, 60 * kSecond, kPollInterval).longest_gap + WatchBackoff::kCallTimeout,
        kPollInterval)
        << dispatchers;
}

TEST(WatchBackoff, SmallTiersAskAgainWithinHalfASecond) {
  for (std::uint64_t seed = 1; seed < 50; ++seed)
    EXPECT_LE(WatchBackoff(3, false, kPollInterval, seed).Failed(), kSecond / 2);
}

Time LongestWait(WatchBackoff* again) {
  Time most = 0;
  for (int i = 0; i < 20; ++i) most = std::max(most, again->Failed());
  return most;
}

TEST(WatchBackoff, HurriesAfterDiscoveryMovedUntilItHasSpoken) {
  WatchBackoff again(100, false, kPollInterval, 7);
  again.Hurry();
  EXPECT_LE(again.Failed(), 300 * kMillisecond);
  again.Succeeded();
  EXPECT_GT(LongestWait(&again), kSecond);
}

// For any number of earlier failures: discovery becomes reachable right after the start of a call that is
// never established, and the following call is lost, before or after it is established.
TEST(WatchBackoff, OneLostCallFitsBetweenDiscoverysReturnAndWhatCountsAsTold) {
  for (int dispatchers : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed < 100; ++seed)
      for (int failures = 0; failures < 12; ++failures)
        for (bool connects : {true, false}) {
          WatchBackoff again(dispatchers, false, kPollInterval, seed);
          for (int i = 0; i < failures; ++i) again.Failed();
          const Time call = again.ConnectBy(0) + again.Failed();
          const Time lost = connects ? again.FirstLineBy(call) : again.ConnectBy(call);
          const Time second = connects && again.Hedge() ? lost : lost + again.Failed();
          ASSERT_LE(second, kTold - kSecond) << dispatchers << " after " << failures;
        }
}

TEST(WatchBackoff, ACallThatAnOverloadedDiscoveryTurnedAwayIsFollowedByOneInTime) {
  for (int dispatchers : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed < 100; ++seed) {
      WatchBackoff again(dispatchers, false, kPollInterval, seed);
      for (int i = 0; i < 12; ++i) ASSERT_LE(again.Overloaded(2 * kSecond), kTold - 2 * kSecond);
      EXPECT_LE(again.Overloaded(0), WatchBackoff::kMaxBackoff) << "a service that is down rejects at once";
    }
}

TEST(WatchBackoff, AfterDiscoveryMovedTwoCallsFitIn4Seconds) {
  for (int dispatchers : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed < 100; ++seed) {
      WatchBackoff again(dispatchers, false, kPollInterval, seed);
      for (int i = 0; i < 12; ++i) again.Failed();
      again.Hurry();
      ASSERT_TRUE(again.Hedge());
      EXPECT_LE(again.FirstLineBy(0), 3 * kSecond);
      EXPECT_LE(again.ConnectBy(0) + again.Failed(), 3 * kSecond);
    }
}

TEST(WatchBackoff, AWatchThatEndsIsNoOutageUnlessItHardlyStood) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    EXPECT_LE(WatchBackoff(300, false, kPollInterval, seed).Ended(10 * kSecond), kSecond * 8 / 10);
    EXPECT_LE(WatchBackoff(1, false, kPollInterval, seed).Ended(10 * kSecond), kSecond * 3 / 10);
    WatchBackoff again(1, false, kPollInterval, seed);
    Time waits = 0;
    for (int i = 0; i < 20; ++i) waits += again.Ended(0);
    EXPECT_GT(waits, 5 * kSecond) << "a watch that ends at once each time must not be retried in a busy loop";
  }
}

TEST(WatchBackoff, ALackOfDescriptorsIsNoFailureOfDiscoverys) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    WatchBackoff again(1, false, kPollInterval, seed);
    for (int i = 0; i < 12; ++i) EXPECT_LE(again.NoDescriptor(), kSecond * 3 / 10);
    EXPECT_LE(again.Failed(), kSecond * 3 / 10) << "the first failure";
    EXPECT_LE(WatchBackoff(300, false, kPollInterval, seed).NoDescriptor(), kSecond * 3 / 10);
  }
}

// Discovery after an outage: processes calls sequentially, `per_call` each, and answers a call that has
// waited for `times_out` with 503. `works_for_nobody`: calls that their client has closed are processed as
// well.
struct Discovery {
  Time per_call, times_out;
  bool works_for_nobody;
};

// How many dispatchers have received the list at time `within` after discovery became reachable.
int ServedInTime(int dispatchers, const Discovery& discovery, Time down_for, Time within) {
  struct Call {
    std::size_t owner;
    bool closed = false, turned_away = false;
  };
  struct Owner {
    WatchBackoff again;
    std::size_t asked = kNoCall, older = kNoCall;
    bool served = false;
  };
  enum What { kAsk, kUnheard, kTimesOut, kServed };
  std::vector<Owner> owners;
  std::vector<Call> calls;
  std::deque<std::size_t> queue;
  std::set<std::tuple<Time, What, std::size_t>> due;  // the last element is a call; with kAsk, an owner
  std::size_t serving = kNoCall;
  int served = 0;
  for (int i = 0; i < dispatchers; ++i) {
    owners.push_back({WatchBackoff(dispatchers, false, kPollInterval, 1000 + i)});
    due.insert({owners.back().again.Ended(10 * kSecond), kAsk, i});
  }
  const auto close = [&](std::size_t call) {
    if (call != kNoCall) calls[call].closed = true;
  };
  for (Time now = 0; !due.empty() && now <= down_for + within;) {
    const auto [at, what, n] = *due.begin();
    due.erase(due.begin());
    now = at;
    Owner& owner = owners[what == kAsk ? n : calls[n].owner];
    if (what == kAsk && now < down_for) {
      due.insert({now + owner.again.Failed(), kAsk, n});
    } else if (what == kAsk && !owner.served) {
      owner.asked = calls.size();
      queue.push_back(calls.size());
      due.insert({owner.again.FirstLineBy(now), kUnheard, calls.size()});
      due.insert({now + discovery.times_out, kTimesOut, calls.size()});
      calls.push_back({n});
    } else if (what == kUnheard && !calls[n].closed && !calls[n].turned_away) {
      if (owner.asked == n && owner.again.Hedge()) {
        close(std::exchange(owner.older, n));
        due.insert({now + WatchBackoff::kHedgeDelay, kUnheard, n});
        due.insert({now, kAsk, calls[n].owner});
      } else {
        close(n);
        if (owner.asked == n) due.insert({now + owner.again.Failed(), kAsk, calls[n].owner});
      }
    } else if (what == kTimesOut && !calls[n].closed && serving != n) {
      calls[n].turned_away = true;
      if (owner.asked == n)
        due.insert({now + owner.again.Overloaded(discovery.times_out), kAsk, calls[n].owner});
    } else if (what == kServed) {
      serving = kNoCall;
      if (!calls[n].closed && !std::exchange(owner.served, true)) ++served;
      close(owner.asked), close(owner.older);
    }
    while (serving == kNoCall && !queue.empty()) {
      const std::size_t next = queue.front();
      queue.pop_front();
      if (calls[next].turned_away || (calls[next].closed && !discovery.works_for_nobody)) continue;
      serving = next;
      due.insert({now + discovery.per_call, kServed, next});
    }
  }
  return served;
}

TEST(WatchBackoff, MostOfThreeHundredAreServedIn6SecondsAfterAnOutage) {
  for (Time for_all : {4600, 6000, 7400})
    for (Time times_out : {1, 2, 3})
      for (bool works_for_nobody : {false, true})
        for (Time down_for : {3, 5, 8, 20}) {
          const Discovery discovery{for_all * kMillisecond / 300, times_out * kSecond, works_for_nobody};
          const int most = std::min<int>(300, kTold / discovery.per_call);  // discovery's capacity
          EXPECT_GE(ServedInTime(300, discovery, down_for * kSecond, kTold), most * 82 / 100)
              << for_all << " " << times_out << " " << works_for_nobody << " " << down_for;
        }
}

TEST(WatchBackoff, NineInTenThatStartAtOnceAreReadyIn10Seconds) {
  for (Time for_all : {4600, 6000, 7400})
    for (Time times_out : {1, 2, 3})
      for (bool works_for_nobody : {false, true})
        for (Time down_for : {0, 3, 8}) {
          const Discovery discovery{for_all * kMillisecond / 300, times_out * kSecond, works_for_nobody};
          EXPECT_GE(ServedInTime(300, discovery, down_for * kSecond, 10 * kSecond), 270)
              << for_all << " " << times_out << " " << works_for_nobody << " " << down_for;
        }
}

// A watch falls silent right after a heartbeat at 0: when the first call starts, and the second if the first
// fails.
struct Calls {
  Time first = 0, second = 0;
};

Calls AfterSilence(WatchBackoff* again, bool connects) {
  const Time noticed = again->HeartbeatBy(0);
  Calls calls;
  calls.first = again->HeartbeatMissed(0, noticed);
  const Time lost = connects ? again->FirstLineBy(calls.first) : again->ConnectBy(calls.first);
  calls.second = connects && again->Hedge() ? lost : lost + again->Failed();
  return calls;
}

TEST(WatchBackoff, ASilenceLeavesTimeForTwoCallsWhateverTheTier) {
  for (int dispatchers : {1, 3, 30, 300, 1000})
    for (std::uint64_t seed = 1; seed < 200; ++seed)
      for (bool connects : {true, false}) {
        WatchBackoff again(dispatchers, false, kPollInterval, seed);
        for (int i = 0; i < 50; ++i) again.Failed(), again.Succeeded();
        const Calls calls = AfterSilence(&again, connects);
        EXPECT_GT(calls.first, 2 * kSecond) << "a heartbeat may still arrive";
        EXPECT_LE(calls.second, kTold - kSecond) << dispatchers << " " << seed;
      }
}

TEST(WatchBackoff, SilenceThatGoesOnAfterTwoCallsIsAnOutage) {
  WatchBackoff again(300, false, kPollInterval, 7);
  AfterSilence(&again, false);
  EXPECT_GT(LongestWait(&again), kSecond);
  again.Succeeded();
  EXPECT_LE(AfterSilence(&again, false).second, kTold - kSecond) << "a later silence again has two calls";
}

TEST(WatchBackoff, LateHeartbeatsAreWaitedForLongerAndTheTwoCallsStillFit) {
  WatchBackoff again(300, false, kPollInterval, 7);
  for (int i = 0; i < 10; ++i) again.HeartbeatMissed(0, again.HeartbeatBy(0)), again.HeartbeatLate();
  EXPECT_GT(again.HeartbeatBy(0), 3 * kSecond);
  EXPECT_LE(AfterSilence(&again, false).second, kTold - kSecond / 2);
  for (int i = 0; i < 200; ++i) again.HeartbeatBy(0);
  EXPECT_EQ(again.HeartbeatBy(0), WatchBackoff::kHeartbeatTimeout);
}

// 300 watches whose last heartbeats are spread over 2 s fall silent at once; discovery needs 15 ms per call.
TEST(WatchBackoff, ThreeHundredThatFallSilentTogetherAreServedInTime) {
  std::multiset<Time> calls;
  for (int i = 0; i < 300; ++i) {
    WatchBackoff again(300, false, kPollInterval, 1000 + i);
    const Time last = -(i * 7919 % 2000) * kMillisecond;
    calls.insert(again.HeartbeatMissed(last, last + WatchBackoff::kHeartbeatTimeout));
  }
  Time free_at = 0;
  for (const Time at : calls) {
    free_at = std::max(free_at, at) + 15 * kMillisecond;
    EXPECT_LT(free_at - at, WatchBackoff::kHedgeDelay);
  }
  EXPECT_LT(free_at, kTold);
}

TEST(WatchBackoff, AnAgentIsAskedAgainBeforeADrainItHasIsDue) {
  constexpr Time kGrace = kSecond / 2;
  for (int dispatchers : {1, 300})
    for (std::uint64_t seed = 1; seed < 200; ++seed) {
      WatchBackoff again(dispatchers, true, 0, seed);
      for (int i = 0; i < 20; ++i)  // during an outage of any length
        EXPECT_LT(again.FirstLineBy(0) + again.Failed(), kGrace - 50 * kMillisecond);
      EXPECT_LE(AfterSilence(&again, true).second, 4 * kSecond);
      EXPECT_EQ(again.WholeLineBy(0, kSecond), 2 * kSecond) << "a long list that is arriving gets more time";
    }
}

}  // namespace
}  // namespace lichenlug
