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
constexpr Time kKnownWithin = 6 * kSecond;
constexpr std::size_t kNoCall = -1;

struct Outage {
  int served = 0;        // dispatchers that were served by the end
  Time longest_gap = 0;  // between two calls of one dispatcher, or from the loss to its first call
};

// All watches end at 0. The server processes calls sequentially, 60 ms each; a call fails after waiting for 2
// s, but still takes its processing time, as its connection was accepted and read.
Outage SimulateOutage(int dispatchers, Time down_for, Time until, Time poll_interval) {
  struct Dispatcher {
    WatchBackoff backoff;
    Time last = 0;
  };
  std::vector<Dispatcher> all;
  std::set<std::pair<Time, int>> calls;
  Outage outage;
  for (int i = 0; i < dispatchers; ++i) {
    all.push_back({WatchBackoff(dispatchers, false, poll_interval, 1000 + i)});
    calls.insert({all.back().backoff.Failed(), i});
  }
  Time free_at = 0;
  while (!calls.empty() && calls.begin()->first < until) {
    const auto [at, i] = *calls.begin();
    calls.erase(calls.begin());
    outage.longest_gap = std::max(outage.longest_gap, at - std::exchange(all[i].last, at));
    const bool down = at < down_for;
    if (!down) free_at = std::max(free_at, at) + 60 * kMillisecond;
    if (down)
      calls.insert({at + all[i].backoff.Failed(), i});
    else if (free_at - at <= 2 * kSecond)
      ++outage.served;
    else
      calls.insert({at + 2 * kSecond + all[i].backoff.Overloaded(2 * kSecond), i});
  }
  return outage;
}

TEST(WatchBackoff, HundredDispatchersGetTheListSoonAfterAnOutage) {
  EXPECT_EQ(SimulateOutage(100, kSecond, 16 * kSecond, kPollInterval).served, 100);
  EXPECT_EQ(SimulateOutage(100, 5 * kSecond, 20 * kSecond, kPollInterval).served, 100);
}

TEST(WatchBackoff, DelaysStayBelowTheTimeUntilUpdatesMustBeKnown) {
  for (int dispatchers : {1, 3, 30, 100, 1000})
    EXPECT_LT(SimulateOutage(dispatchers, 60 * kSecond, 60 * kSecond, kPollInterval).longest_gap +
                  WatchBackoff::kCallTimeout,
              kPollInterval)
        << dispatchers;
}

TEST(WatchBackoff, SmallTiersRetryWithinHalfASecond) {
  for (std::uint64_t seed = 1; seed < 50; ++seed)
    EXPECT_LE(WatchBackoff(3, false, kPollInterval, seed).Failed(), kSecond / 2);
}

Time LongestDelay(WatchBackoff* backoff) {
  Time longest = 0;
  for (int i = 0; i < 20; ++i) longest = std::max(longest, backoff->Failed());
  return longest;
}

TEST(WatchBackoff, ShortDelaysAfterDiscoveryMovedUntilAnUpdate) {
  WatchBackoff backoff(100, false, kPollInterval, 7);
  backoff.DiscoveryMoved();
  EXPECT_LE(backoff.Failed(), 300 * kMillisecond);
  backoff.Succeeded();
  EXPECT_GT(LongestDelay(&backoff), kSecond);
}

// For any number of earlier failures: discovery becomes reachable right after the start of a call that is
// never established, and the following call is lost, before or after it is established.
TEST(WatchBackoff, OneCallMayBeLostAfterDiscoveryReturns) {
  for (int dispatchers : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed < 100; ++seed)
      for (int failures = 0; failures < 12; ++failures)
        for (bool connects : {true, false}) {
          WatchBackoff backoff(dispatchers, false, kPollInterval, seed);
          for (int i = 0; i < failures; ++i) backoff.Failed();
          const Time call = backoff.ConnectDeadline(0) + backoff.Failed();
          const Time lost = connects ? backoff.FirstLineDeadline(call) : backoff.ConnectDeadline(call);
          const Time second = connects && backoff.StartHedge() ? lost : lost + backoff.Failed();
          ASSERT_LE(second, kKnownWithin - kSecond) << dispatchers << " after " << failures;
        }
}

TEST(WatchBackoff, RetriesInTimeAfterOverloadedDiscoveryRejectsACall) {
  for (int dispatchers : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed < 100; ++seed) {
      WatchBackoff backoff(dispatchers, false, kPollInterval, seed);
      for (int i = 0; i < 12; ++i) ASSERT_LE(backoff.Overloaded(2 * kSecond), kKnownWithin - 2 * kSecond);
      EXPECT_LE(backoff.Overloaded(0), WatchBackoff::kMaxBackoff) << "a service that is down rejects at once";
    }
}

TEST(WatchBackoff, TwoCallsFitIn4SecondsAfterDiscoveryMoved) {
  for (int dispatchers : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed < 100; ++seed) {
      WatchBackoff backoff(dispatchers, false, kPollInterval, seed);
      for (int i = 0; i < 12; ++i) backoff.Failed();
      backoff.DiscoveryMoved();
      ASSERT_TRUE(backoff.StartHedge());
      EXPECT_LE(backoff.FirstLineDeadline(0), 3 * kSecond);
      EXPECT_LE(backoff.ConnectDeadline(0) + backoff.Failed(), 3 * kSecond);
    }
}

TEST(WatchBackoff, EndOfAnEstablishedWatchIsNoOutage) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    EXPECT_LE(WatchBackoff(300, false, kPollInterval, seed).Ended(10 * kSecond), kSecond * 8 / 10);
    EXPECT_LE(WatchBackoff(1, false, kPollInterval, seed).Ended(10 * kSecond), kSecond * 3 / 10);
    WatchBackoff backoff(1, false, kPollInterval, seed);
    Time waits = 0;
    for (int i = 0; i < 20; ++i) waits += backoff.Ended(0);
    EXPECT_GT(waits, 5 * kSecond) << "a watch that ends at once each time must not be retried in a busy loop";
  }
}

TEST(WatchBackoff, LackOfDescriptorsIsNoFailureOfDiscovery) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    WatchBackoff backoff(1, false, kPollInterval, seed);
    for (int i = 0; i < 12; ++i) EXPECT_LE(backoff.NoDescriptor(), kSecond * 3 / 10);
    EXPECT_LE(backoff.Failed(), kSecond * 3 / 10) << "the first failure";
    EXPECT_LE(WatchBackoff(300, false, kPollInterval, seed).NoDescriptor(), kSecond * 3 / 10);
  }
}

// Discovery after an outage: processes calls sequentially, `per_call` each, and answers a call that has
// waited for `queue_timeout` with 503. `serves_closed_calls`: calls that their client has closed are
// processed as well.
struct Discovery {
  Time per_call, queue_timeout;
  bool serves_closed_calls;
};

// How many dispatchers have received the list at time `within` after discovery became reachable.
int ServedInTime(int dispatchers, const Discovery& discovery, Time down_for, Time within) {
  struct Call {
    std::size_t owner;
    bool closed = false, rejected = false;
  };
  struct Owner {
    WatchBackoff backoff;
    std::size_t asked = kNoCall, older = kNoCall;
    bool served = false;
  };
  enum EventKind { kAsk, kLineTimeout, kQueueTimeout, kServed };
  std::vector<Owner> owners;
  std::vector<Call> calls;
  std::deque<std::size_t> queue;
  std::set<std::tuple<Time, EventKind, std::size_t>> due;  // the last element is a call; with kAsk, an owner
  std::size_t serving = kNoCall;
  int served = 0;
  for (int i = 0; i < dispatchers; ++i) {
    owners.push_back({WatchBackoff(dispatchers, false, kPollInterval, 1000 + i)});
    due.insert({owners.back().backoff.Ended(10 * kSecond), kAsk, i});
  }
  const auto close = [&](std::size_t call) {
    if (call != kNoCall) calls[call].closed = true;
  };
  for (Time now = 0; !due.empty() && now <= down_for + within;) {
    const auto [at, kind, index] = *due.begin();
    due.erase(due.begin());
    now = at;
    Owner& owner = owners[kind == kAsk ? index : calls[index].owner];
    if (kind == kAsk && now < down_for) {
      due.insert({now + owner.backoff.Failed(), kAsk, index});
    } else if (kind == kAsk && !owner.served) {
      owner.asked = calls.size();
      queue.push_back(calls.size());
      due.insert({owner.backoff.FirstLineDeadline(now), kLineTimeout, calls.size()});
      due.insert({now + discovery.queue_timeout, kQueueTimeout, calls.size()});
      calls.push_back({index});
    } else if (kind == kLineTimeout && !calls[index].closed && !calls[index].rejected) {
      if (owner.asked == index && owner.backoff.StartHedge()) {
        close(std::exchange(owner.older, index));
        due.insert({now + WatchBackoff::kHedgeDelay, kLineTimeout, index});
        due.insert({now, kAsk, calls[index].owner});
      } else {
        close(index);
        if (owner.asked == index) due.insert({now + owner.backoff.Failed(), kAsk, calls[index].owner});
      }
    } else if (kind == kQueueTimeout && !calls[index].closed && serving != index) {
      calls[index].rejected = true;
      if (owner.asked == index)
        due.insert({now + owner.backoff.Overloaded(discovery.queue_timeout), kAsk, calls[index].owner});
    } else if (kind == kServed) {
      serving = kNoCall;
      if (!calls[index].closed && !std::exchange(owner.served, true)) ++served;
      close(owner.asked), close(owner.older);
    }
    while (serving == kNoCall && !queue.empty()) {
      const std::size_t next = queue.front();
      queue.pop_front();
      if (calls[next].rejected || (calls[next].closed && !discovery.serves_closed_calls)) continue;
      serving = next;
      due.insert({now + discovery.per_call, kServed, next});
    }
  }
  return served;
}

TEST(WatchBackoff, MostOf300AreServedIn6SecondsAfterAnOutage) {
  for (Time for_all : {4600, 6000, 7400})
    for (Time queue_timeout : {1, 2, 3})
      for (bool serves_closed_calls : {false, true})
        for (Time down_for : {3, 5, 8, 20}) {
          const Discovery discovery{for_all * kMillisecond / 300, queue_timeout * kSecond,
                                    serves_closed_calls};
          const int capacity = std::min<int>(300, kKnownWithin / discovery.per_call);  // discovery's capacity
          EXPECT_GE(ServedInTime(300, discovery, down_for * kSecond, kKnownWithin), capacity * 82 / 100)
              << for_all << " " << queue_timeout << " " << serves_closed_calls << " " << down_for;
        }
}

TEST(WatchBackoff, NineInTenThatStartTogetherAreReadyIn10Seconds) {
  for (Time for_all : {4600, 6000, 7400})
    for (Time queue_timeout : {1, 2, 3})
      for (bool serves_closed_calls : {false, true})
        for (Time down_for : {0, 3, 8}) {
          const Discovery discovery{for_all * kMillisecond / 300, queue_timeout * kSecond,
                                    serves_closed_calls};
          EXPECT_GE(ServedInTime(300, discovery, down_for * kSecond, 10 * kSecond), 270)
              << for_all << " " << queue_timeout << " " << serves_closed_calls << " " << down_for;
        }
}

// A watch falls silent right after a heartbeat at 0: when the first call starts, and the second if the first
// fails.
struct Calls {
  Time first = 0, second = 0;
};

Calls AfterSilence(WatchBackoff* backoff, bool connects) {
  const Time detected = backoff->HeartbeatDeadline(0);
  Calls calls;
  calls.first = backoff->HeartbeatMissed(0, detected);
  const Time lost =
      connects ? backoff->FirstLineDeadline(calls.first) : backoff->ConnectDeadline(calls.first);
  calls.second = connects && backoff->StartHedge() ? lost : lost + backoff->Failed();
  return calls;
}

TEST(WatchBackoff, SilenceLeavesTimeForTwoCallsForAnyTierSize) {
  for (int dispatchers : {1, 3, 30, 300, 1000})
    for (std::uint64_t seed = 1; seed < 200; ++seed)
      for (bool connects : {true, false}) {
        WatchBackoff backoff(dispatchers, false, kPollInterval, seed);
        for (int i = 0; i < 50; ++i) backoff.Failed(), backoff.Succeeded();
        const Calls calls = AfterSilence(&backoff, connects);
        EXPECT_GT(calls.first, 2 * kSecond) << "a heartbeat may still arrive";
        EXPECT_LE(calls.second, kKnownWithin - kSecond) << dispatchers << " " << seed;
      }
}

TEST(WatchBackoff, SilenceAfterTwoFailedCallsIsAnOutage) {
  WatchBackoff backoff(300, false, kPollInterval, 7);
  AfterSilence(&backoff, false);
  EXPECT_GT(LongestDelay(&backoff), kSecond);
  backoff.Succeeded();
  EXPECT_LE(AfterSilence(&backoff, false).second, kKnownWithin - kSecond)
      << "a later silence again has two calls";
}

TEST(WatchBackoff, LateHeartbeatsExtendTheTimeoutAndTwoCallsStillFit) {
  WatchBackoff backoff(300, false, kPollInterval, 7);
  for (int i = 0; i < 10; ++i)
    backoff.HeartbeatMissed(0, backoff.HeartbeatDeadline(0)), backoff.HeartbeatLate();
  EXPECT_GT(backoff.HeartbeatDeadline(0), 3 * kSecond);
  EXPECT_LE(AfterSilence(&backoff, false).second, kKnownWithin - kSecond / 2);
  for (int i = 0; i < 200; ++i) backoff.HeartbeatDeadline(0);
  EXPECT_EQ(backoff.HeartbeatDeadline(0), WatchBackoff::kHeartbeatTimeout);
}

// 300 watches whose last heartbeats are spread over 2 s fall silent at once; discovery needs 15 ms per call.
TEST(WatchBackoff, ThreeHundredSilentWatchesAreServedInTime) {
  std::multiset<Time> calls;
  for (int i = 0; i < 300; ++i) {
    WatchBackoff backoff(300, false, kPollInterval, 1000 + i);
    const Time last = -(i * 7919 % 2000) * kMillisecond;
    calls.insert(backoff.HeartbeatMissed(last, last + WatchBackoff::kHeartbeatTimeout));
  }
  Time free_at = 0;
  for (const Time at : calls) {
    free_at = std::max(free_at, at) + 15 * kMillisecond;
    EXPECT_LT(free_at - at, WatchBackoff::kHedgeDelay);
  }
  EXPECT_LT(free_at, kKnownWithin);
}

TEST(WatchBackoff, AgentIsRetriedBeforeADrainMustTakeEffect) {
  constexpr Time kGrace = kSecond / 2;
  for (int dispatchers : {1, 300})
    for (std::uint64_t seed = 1; seed < 200; ++seed) {
      WatchBackoff backoff(dispatchers, true, 0, seed);
      for (int i = 0; i < 20; ++i)  // during an outage of any length
        EXPECT_LT(backoff.FirstLineDeadline(0) + backoff.Failed(), kGrace - 50 * kMillisecond);
      EXPECT_LE(AfterSilence(&backoff, true).second, 4 * kSecond);
      EXPECT_EQ(backoff.WholeLineDeadline(0, kSecond), 2 * kSecond)
          << "a long list that is arriving gets more time";
    }
}

}  // namespace
}  // namespace lichenlug
