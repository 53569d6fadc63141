// Timeouts and backoff of the watch on discovery: how long to wait for a call or a heartbeat, and when to
// reconnect after a call failed, a watch was lost or an established watch fell silent. No clock, no I/O.
//
// The dispatcher is required to know a change 6 s after discovery had it and was reachable again, a moment
// that this process can't observe. So whatever failed before, from any moment on there must be time for
//   1.0 s  a call that was started just before and is never established,
//   1.4 s  the maximum backoff,
//   2.4 s  a lost call: it is established and delivers nothing, so that a second one is started as a hedge,
//          or it is never established (1 s) and followed by another backoff (1.4 s),
//   1.0 s  at least for the response to the second call.
//
// Thundering herd: discovery is one service of fixed capacity for all dispatchers and processes their calls
// sequentially. When it goes down, all watches end at once. Large tiers spread their calls over the backoff
// above; a call that waits in discovery's queue is kept when the hedge is started, so that no work of
// discovery is wasted. A call that was queued and then rejected with 503 shows that discovery is overloaded:
// the next one follows after up to 3.5 s, depending on the tier's size, which leaves time for one call
// instead of two.
//
// Missed updates: the dispatcher is required to know whatever a silent watch missed 6 s after it fell silent.
// So a silence is not handled as an outage: a new watch is requested while the old one stays open, and of
// those 6 s
//   2.4 s  pass until the silence is detected (a heartbeat is due every 2 s),
//   0.8 s  at most are jitter that spreads the calls of a large tier,
//   1.0 s  at least is left for the first call, and the time until 4.7 s if it started early,
//   0.3 s  at most separate it from a second call,
//   1.0 s  is left for the second call. If it fails as well, the silence counts as an outage.
//
// With pushed lists, discovery's address is an agent on this machine that responds at once and serves nobody
// else, and the dispatcher is required to know a change as soon as the agent has it: delays are short and
// don't depend on the tier's size.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include "base/clock.h"

namespace lichenlug {

class WatchBackoff {
 public:
  // A call fails if no connection is established within 1 s; if it delivers nothing within 2.4 s, a second
  // one is started as a hedge. After SIGHUP the dispatcher is required to know discovery's state within 4 s,
  // so a call without a response must leave time for another.
  static constexpr Time kConnectTimeout = kSecond, kHedgeDelay = 2400 * kMillisecond;
  static constexpr Time kCallTimeout = kConnectTimeout + kHedgeDelay;
  static constexpr Time kMaxBackoff = 1400 * kMillisecond, kMaxOverloadBackoff = 3500 * kMillisecond;
  // Pushed lists: a drain must take effect within 500 ms of the agent knowing it, including this timeout, the
  // backoff and the response.
  static constexpr Time kAgentTimeout = 250 * kMillisecond;
  static constexpr Time kHeartbeatTimeout = 2400 * kMillisecond, kMaxHeartbeatTimeout = 3200 * kMillisecond;
  // kSecondCallAfter counts from the beginning of a silence.
  static constexpr Time kSecondCallAfter = 4700 * kMillisecond, kMinHedgeDelay = kSecond;
  static constexpr Time kMinEstablishedTime = kSecond;  // a shorter watch counts as a failed call

  // `poll_interval`: a dispatcher that has had no watch or call for this long is required to know all updates
  // that it missed; 0: no such limit.
  WatchBackoff(int dispatchers, bool pushed, Time poll_interval, std::uint64_t seed)
      : pushed_(pushed),
        tier_backoff_(std::max(kFirstBackoff, std::max(dispatchers, 1) * kCallShare)),
        max_backoff_(poll_interval > 0 ? std::max(kFirstBackoff, poll_interval * 9 / 10 - kCallTimeout)
                                       : kMaxOverloadBackoff),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // Discovery has moved: its state must be known soon, so the backoff is short until it has delivered an
  // update.
  void DiscoveryMoved() { moved_ = true, failures_ = 0; }

  void Succeeded() { moved_ = second_call_left_ = false, failures_ = 0, silent_since_ = 0; }

  Time ConnectDeadline(Time now) const { return now + (pushed_ ? kAgentTimeout : kConnectTimeout); }

  // The deadline for the first complete line of an established call.
  Time FirstLineDeadline(Time now) const {
    if (pushed_) return now + kAgentTimeout;
    if (!second_call_left_) return now + kHedgeDelay;
    return std::clamp(silent_since_ + kSecondCallAfter, now + kMinHedgeDelay, now + kHedgeDelay);
  }

  // The deadline for the first complete line after its first bytes have arrived; `by` is the previous
  // deadline. An agent that sends anything is alive, however long its list is.
  Time WholeLineDeadline(Time by, Time now) const { return pushed_ ? now + kMinHedgeDelay : by; }

  // A call has delivered nothing by its deadline: returns whether to start a second one as a hedge; otherwise
  // the call has failed.
  bool StartHedge() { return second_call_left_ = false, !pushed_; }

  // The established watch has delivered a line: returns the deadline for the next one.
  Time HeartbeatDeadline(Time now) {
    heartbeat_timeout_ = std::max(kHeartbeatTimeout, heartbeat_timeout_ - kTimeoutStep);
    return now + heartbeat_timeout_;
  }

  // The established watch has been silent since `since`: returns when to request a new one beside it.
  Time HeartbeatMissed(Time since, Time now) {
    silent_since_ = since, second_call_left_ = true;
    return now + (pushed_ ? AgentBackoff() : Jitter());
  }

  // The silent watch delivered a line after all: heartbeats arrive late here, so their timeout is extended.
  // 40 heartbeats in time undo the extension.
  void HeartbeatLate() {
    second_call_left_ = false, silent_since_ = 0;
    heartbeat_timeout_ = std::min(kMaxHeartbeatTimeout, heartbeat_timeout_ + 40 * kTimeoutStep);
  }

  // The delay after a watch that was established for `lasted` has ended: by itself this is not an outage.
  Time Ended(Time lasted) { return pushed_ || lasted < kMinEstablishedTime ? Failed() : Jitter(); }

  // The delay after discovery accepted a call, made it wait for `waited` and rejected it.
  Time Overloaded(Time waited) {
    if (pushed_ || second_call_left_ || waited < kMinOverloadedWait || std::exchange(moved_, false))
      return Failed();
    const Time latest =
        std::min({tier_backoff_ << std::min(failures_++, 4), kMaxOverloadBackoff, max_backoff_});
    return RandomBetween(latest / 2, latest);
  }

  // The delay after this process had no descriptor for a call, which says nothing about discovery.
  Time NoDescriptor() { return pushed_ ? AgentBackoff() : RandomBetween(kMinBackoff, kFirstBackoff); }

  // The delay after another failure.
  Time Failed() {
    if (pushed_) return AgentBackoff();
    if (std::exchange(second_call_left_, false)) return RandomBetween(kMinBackoff, kFirstBackoff);
    const Time first = moved_ ? kFirstBackoff : tier_backoff_;
    return RandomBetween(kMinBackoff,
                         std::min({first << std::min(failures_++, 4), kMaxBackoff, max_backoff_}));
  }

 private:
  static constexpr Time kMinBackoff = 100 * kMillisecond, kFirstBackoff = 300 * kMillisecond;
  static constexpr Time kCallShare = 80 * kMillisecond;  // discovery's time per dispatcher's call
  static constexpr Time kMinJitter = 50 * kMillisecond;  // to read first what arrived during a pause
  static constexpr Time kMaxJitter = 800 * kMillisecond;
  static constexpr Time kTimeoutStep = 10 * kMillisecond;
  // A service that is down rejects calls sooner than one that has a queue.
  static constexpr Time kMinOverloadedWait = kSecond / 2;

  Time RandomBetween(Time soonest, Time latest) {
    return soonest + static_cast<Time>(random_() % static_cast<std::uint64_t>(latest - soonest));
  }
  Time Jitter() { return RandomBetween(kMinJitter, std::min(tier_backoff_, kMaxJitter)); }
  Time AgentBackoff() { return RandomBetween(50 * kMillisecond, 150 * kMillisecond); }

  const bool pushed_;
  Time tier_backoff_, max_backoff_, heartbeat_timeout_ = kHeartbeatTimeout;
  std::minstd_rand random_;
  int failures_ = 0;
  bool moved_ = false;
  bool second_call_left_ = false;  // a silence has begun and no call has failed since
  Time silent_since_ = 0;
};

}  // namespace lichenlug
