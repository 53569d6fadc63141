// When to call discovery: how long a call or a watch is waited for, and when to ask again after a call
// failed, a watch was lost or one that stands fell silent. Pure: no clock, no I/O.
//
// Guards against a herd: discovery is one service of fixed capacity for all dispatchers. When it goes down
// all watches end at one moment; dispatchers that all ask again within a second or two fill its queue, each
// call waits until it fails, and the calls that wait keep out those that would have been in time. So the
// first wait grows with how many dispatchers share the service, and doubles from there.
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

class AskAgain {
 public:
  // A call is given up for: no connection in 1 s, then no first byte in 2.5 s. After SIGHUP all that
  // discovery has to tell counts as told within 4 s, so a call that gets no answer must leave time for
  // another.
  static constexpr Time kConnectPatience = kSecond, kFirstPatience = 2500 * kMillisecond;
  static constexpr Time kCallPatience = kConnectPatience + kFirstPatience;
  // Pushed: drains hold within 500 ms of what the agent has; patience, wait and answer lie within.
  static constexpr Time kAgentPatience = 250 * kMillisecond;
  static constexpr Time kQuiet = 2400 * kMillisecond, kMostQuiet = 3200 * kMillisecond;
  static constexpr Time kSecondCallAt = 4700 * kMillisecond,
                        kLeastPatience = kSecond;  // after a silence began

  // `ask_every`: one that neither watches nor asks for that long counts as told of what it does not know; 0:
  // none.
  AskAgain(int dispatchers, bool pushed, Time ask_every, std::uint64_t seed)
      : pushed_(pushed),
        tier_(std::max(kFirst, std::max(dispatchers, 1) * kCall)),
        longest_(ask_every > 0 ? std::max(2 * kFirst, ask_every * 9 / 10 - kCallPatience) : kUnbounded),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // So many dispatchers are there.
  void Tier(int dispatchers) { tier_ = std::max(kFirst, std::max(dispatchers, 1) * kCall); }

  // Discovery has moved: what it tells counts as told soon, so waits are short until it has spoken.
  void Hurry() { hurried_ = true, failures_ = 0; }

  void Spoke() { hurried_ = second_chance_ = false, failures_ = 0, silent_since_ = 0; }

  Time ConnectBy(Time now) const { return now + (pushed_ ? kAgentPatience : kConnectPatience); }

  Time FirstByteBy(Time now) const {
    if (pushed_) return now + kAgentPatience;
    if (!second_chance_) return now + kFirstPatience;
    return std::clamp(silent_since_ + kSecondCallAt, now + kLeastPatience, now + kFirstPatience);
  }

  // The watch that stands has said something: until when the next is waited for.
  Time BeatBy(Time now) {
    quiet_ = std::max(kQuiet, quiet_ - kForgive);
    return now + quiet_;
  }

  // The watch that stands has said nothing since `since`: when to ask anew beside it.
  Time Silent(Time since, Time now) {
    silent_since_ = since, second_chance_ = true;
    return now + (pushed_ ? AgentWait() : Drawn(kLeastSpread, std::min(tier_, kMostSpread)));
  }

  // It spoke on after all: heartbeats come late here, so they are waited for longer. What is lost by that is
  // won back by 40 heartbeats in time.
  void Woke() {
    second_chance_ = false, silent_since_ = 0;
    quiet_ = std::min(kMostQuiet, quiet_ + 40 * kForgive);
  }

  // The span to wait after one more failure, spread evenly over half to one and a half times its mean, or
  // over all that is left of `ask_every` once the longest a call may take is taken off.
  Time Failed() {
    if (pushed_) return AgentWait();
    if (std::exchange(second_chance_, false)) return Drawn(kFirst / 2, kFirst * 3 / 2);
    const Time first = hurried_ ? kFirst : tier_;
    const Time mean = std::min(std::max(4 * first, kMost), first << std::min(failures_++, 8));
    const Time latest = std::min(mean + mean / 2, longest_);
    return Drawn(std::max(kFirst / 2, latest - mean), latest);
  }

 private:
  static constexpr Time kFirst = 200 * kMillisecond, kMost = 2 * kSecond;
  static constexpr Time kCall =
      80 * kMillisecond;  // of discovery's time, kept free for each dispatcher's call
  static constexpr Time kLeastSpread = 50 * kMillisecond;  // what lies unread after a pause comes first
  static constexpr Time kMostSpread = 800 * kMillisecond;
  static constexpr Time kForgive = 10 * kMillisecond;

  static constexpr Time kUnbounded = 3600 * kSecond;

  Time Drawn(Time soonest, Time latest) {
    return soonest + static_cast<Time>(random_() % static_cast<std::uint64_t>(latest - soonest));
  }
  Time AgentWait() { return Drawn(kFirst / 4, kFirst * 3 / 4); }

  const bool pushed_;
  Time tier_, longest_, quiet_ = kQuiet;
  std::minstd_rand random_;
  int failures_ = 0;
  bool hurried_ = false;
  bool second_chance_ = false;  // a silence began, and no call has failed since
  Time silent_since_ = 0;
};

}  // namespace lichenlug
