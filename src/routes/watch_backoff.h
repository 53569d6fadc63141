// The backoff of the watch on discovery, with its time-outs for calls and heartbeats: how long a call or a
// watch is waited for, and when to ask again after a call failed, a watch was lost or one that stands fell
// silent. Pure: no clock, no I/O.
//
// A change counts as told 6 s after discovery had it and could be reached again, which this process does not
// see. So whatever failed before, from any moment on there has to be time for
//   1.0 s  a call that was begun just before and never comes up,
//   1.4 s  the longest wait,
//   2.4 s  a call that is lost: it comes up and says nothing; a second one is begun beside it,
//          or it never comes up (1 s) and is waited after once more (1.4 s),
//   1.0 s  at least until the second one's answer.
//
// Guards against a herd: discovery is one service of fixed capacity for all dispatchers and serves their
// calls in turn. When it goes down all watches end at one moment. Large tiers spread their calls over the
// wait above; a call that waits in its queue is kept when the second one is begun, so that no work of
// discovery's is lost. One that was kept waiting and turned away (503) has found it overloaded: the next
// comes after up to 3.5 s by the tier's size, which leaves time for one call instead of two.
//
// Guards against news that counts as told and never came: what a silent watch misses counts as told 6 s after
// it fell silent. So a silence is no outage: a new watch is asked for beside the old one, and of those 6 s
//   2.4 s  go by until the silence is noticed (a heartbeat comes every 2 s),
//   0.8 s  at most spread the calls of a large tier,
//   1.0 s  at least is left to the first call, and all until 4.7 s if it came early,
//   0.3 s  at most lie between it and a second,
//   1.0 s  is left to the second. After that one failed, too, it is an outage.
//
// Where lists are pushed, discovery's address is an agent on this machine that answers at once and serves
// nobody else, and what it has counts as told as soon as it has it: waits are short and know no tier.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include "base/clock.h"

namespace lichenlug {

class WatchBackoff {
 public:
  // A call is given up for when no connection comes up in 1 s; when it says nothing in 2.4 s, another one is
  // begun beside it. After SIGHUP all that discovery has to tell counts as told within 4 s, so a call that
  // gets no answer must leave time for another.
  static constexpr Time kConnectTimeout = kSecond, kHedgeDelay = 2400 * kMillisecond;
  static constexpr Time kCallTimeout = kConnectTimeout + kHedgeDelay;
  static constexpr Time kMaxBackoff = 1400 * kMillisecond, kMaxOverloadBackoff = 3500 * kMillisecond;
  // Pushed: drains hold within 500 ms of what the agent has; patience, wait and answer lie within.
  static constexpr Time kAgentTimeout = 250 * kMillisecond;
  static constexpr Time kHeartbeatTimeout = 2400 * kMillisecond, kMaxHeartbeatTimeout = 3200 * kMillisecond;
  static constexpr Time kSecondCallAt = 4700 * kMillisecond,
                        kMinHedgeDelay = kSecond;  // after a silence began
  static constexpr Time kStood = kSecond;          // a watch that stood as long was one

  // `poll_interval`: one that neither watches nor asks for that long counts as told of what it does not know;
  // 0: none.
  WatchBackoff(int dispatchers, bool pushed, Time poll_interval, std::uint64_t seed)
      : pushed_(pushed),
        tier_(std::max(kFirstBackoff, std::max(dispatchers, 1) * kCall)),
        longest_(poll_interval > 0 ? std::max(kFirstBackoff, poll_interval * 9 / 10 - kCallTimeout)
                                   : kMaxOverloadBackoff),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // Discovery has moved: what it tells counts as told soon, so waits are short until it has spoken.
  void Hurry() { hurried_ = true, failures_ = 0; }

  void Succeeded() { hurried_ = second_chance_ = false, failures_ = 0, silent_since_ = 0; }

  Time ConnectBy(Time now) const { return now + (pushed_ ? kAgentTimeout : kConnectTimeout); }

  // Until when a call that has come up is to say a whole line.
  Time FirstLineBy(Time now) const {
    if (pushed_) return now + kAgentTimeout;
    if (!second_chance_) return now + kHedgeDelay;
    return std::clamp(silent_since_ + kSecondCallAt, now + kMinHedgeDelay, now + kHedgeDelay);
  }

  // It has begun to speak, and its first line was to come by `by`. An agent that speaks is there, however
  // long its list is.
  Time WholeLineBy(Time by, Time now) const { return pushed_ ? now + kMinHedgeDelay : by; }

  // It has said nothing by then: whether to begin another one beside it; else it is given up.
  bool Hedge() { return second_chance_ = false, !pushed_; }

  // The watch that stands has said something: until when the next is waited for.
  Time HeartbeatBy(Time now) {
    heartbeat_timeout_ = std::max(kHeartbeatTimeout, heartbeat_timeout_ - kForgive);
    return now + heartbeat_timeout_;
  }

  // The watch that stands has said nothing since `since`: when to ask anew beside it.
  Time HeartbeatMissed(Time since, Time now) {
    silent_since_ = since, second_chance_ = true;
    return now + (pushed_ ? AgentBackoff() : Jitter());
  }

  // It spoke on after all: heartbeats come late here, so they are waited for longer. What is lost by that is
  // won back by 40 heartbeats in time.
  void HeartbeatLate() {
    second_chance_ = false, silent_since_ = 0;
    heartbeat_timeout_ = std::min(kMaxHeartbeatTimeout, heartbeat_timeout_ + 40 * kForgive);
  }

  // The span to wait after a watch that stood for `stood` has ended: by itself that is no outage.
  Time Ended(Time stood) { return pushed_ || stood < kStood ? Failed() : Jitter(); }

  // The span to wait after discovery took a call, kept it for `kept` and turned it away.
  Time Overloaded(Time kept) {
    if (pushed_ || second_chance_ || kept < kOverloadedAfter || std::exchange(hurried_, false))
      return Failed();
    const Time latest = std::min({tier_ << std::min(failures_++, 4), kMaxOverloadBackoff, longest_});
    return Drawn(latest / 2, latest);
  }

  // The span to wait after this process had no descriptor for a call: that tells nothing of discovery.
  Time NoDescriptor() { return pushed_ ? AgentBackoff() : Drawn(kMinBackoff, kFirstBackoff); }

  // The span to wait after one more failure.
  Time Failed() {
    if (pushed_) return AgentBackoff();
    if (std::exchange(second_chance_, false)) return Drawn(kMinBackoff, kFirstBackoff);
    const Time first = hurried_ ? kFirstBackoff : tier_;
    return Drawn(kMinBackoff, std::min({first << std::min(failures_++, 4), kMaxBackoff, longest_}));
  }

 private:
  static constexpr Time kMinBackoff = 100 * kMillisecond, kFirstBackoff = 300 * kMillisecond;
  static constexpr Time kCall =
      80 * kMillisecond;  // of discovery's time, kept free for each dispatcher's call
  static constexpr Time kMinJitter = 50 * kMillisecond;  // what lies unread after a pause comes first
  static constexpr Time kMaxJitter = 800 * kMillisecond;
  static constexpr Time kForgive = 10 * kMillisecond;
  static constexpr Time kOverloadedAfter = kSecond / 2;  // who is down turns away sooner than who has a queue

  Time Drawn(Time soonest, Time latest) {
    return soonest + static_cast<Time>(random_() % static_cast<std::uint64_t>(latest - soonest));
  }
  Time Jitter() { return Drawn(kMinJitter, std::min(tier_, kMaxJitter)); }
  Time AgentBackoff() { return Drawn(50 * kMillisecond, 150 * kMillisecond); }

  const bool pushed_;
  Time tier_, longest_, heartbeat_timeout_ = kHeartbeatTimeout;
  std::minstd_rand random_;
  int failures_ = 0;
  bool hurried_ = false;
  bool second_chance_ = false;  // a silence began, and no call has failed since
  Time silent_since_ = 0;
};

}  // namespace lichenlug
