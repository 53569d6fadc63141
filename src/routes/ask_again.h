// When to call discovery: how long a call or a watch is waited for, and when to ask again after a call
// failed, a watch was lost or one that stands fell silent. Pure: no clock, no I/O.
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

class AskAgain {
 public:
  // A call is given up for when no connection comes up in 1 s; when it says nothing in 2.4 s, another one is
  // begun beside it. After SIGHUP all that discovery has to tell counts as told within 4 s, so a call that
  // gets no answer must leave time for another.
  static constexpr Time kConnectPatience = kSecond, kFirstPatience = 2400 * kMillisecond;
  static constexpr Time kCallPatience = kConnectPatience + kFirstPatience;
  static constexpr Time kMostWait = 1400 * kMillisecond, kMostBusyWait = 3500 * kMillisecond;
  // Pushed: drains hold within 500 ms of what the agent has; patience, wait and answer lie within.
  static constexpr Time kAgentPatience = 250 * kMillisecond;
  static constexpr Time kQuiet = 2400 * kMillisecond, kMostQuiet = 3200 * kMillisecond;
  static constexpr Time kSecondCallAt = 4700 * kMillisecond,
                        kLeastPatience = kSecond;  // after a silence began
  static constexpr Time kStood = kSecond;          // a watch that stood as long was one

  // `ask_every`: one that neither watches nor asks for that long counts as told of what it does not know; 0:
  // none.
  AskAgain(int dispatchers, bool pushed, Time ask_every, std::uint64_t seed)
      : pushed_(pushed),
        tier_(std::max(kFirst, std::max(dispatchers, 1) * kCall)),
        longest_(ask_every > 0 ? std::max(kFirst, ask_every * 9 / 10 - kCallPatience) : kMostBusyWait),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // Discovery has moved: what it tells counts as told soon, so waits are short until it has spoken.
  void Hurry() { hurried_ = true, failures_ = 0; }

  void Spoke() { hurried_ = second_chance_ = false, failures_ = 0, silent_since_ = 0; }

  Time ConnectBy(Time now) const { return now + (pushed_ ? kAgentPatience : kConnectPatience); }

  // Until when a call that has come up is to say a whole line.
  Time FirstByteBy(Time now) const {
    if (pushed_) return now + kAgentPatience;
    if (!second_chance_) return now + kFirstPatience;
    return std::clamp(silent_since_ + kSecondCallAt, now + kLeastPatience, now + kFirstPatience);
  }

  // It has begun to speak, and its first line was to come by `by`. An agent that speaks is there, however
  // long its list is.
  Time LineBy(Time by, Time now) const { return pushed_ ? now + kLeastPatience : by; }

  // It has said nothing by then: whether to begin another one beside it; else it is given up.
  bool Hedge() { return second_chance_ = false, !pushed_; }

  // The watch that stands has said something: until when the next is waited for.
  Time BeatBy(Time now) {
    quiet_ = std::max(kQuiet, quiet_ - kForgive);
    return now + quiet_;
  }

  // The watch that stands has said nothing since `since`: when to ask anew beside it.
  Time Silent(Time since, Time now) {
    silent_since_ = since, second_chance_ = true;
    return now + (pushed_ ? AgentWait() : Spread());
  }

  // It spoke on after all: heartbeats come late here, so they are waited for longer. What is lost by that is
  // won back by 40 heartbeats in time.
  void Woke() {
    second_chance_ = false, silent_since_ = 0;
    quiet_ = std::min(kMostQuiet, quiet_ + 40 * kForgive);
  }

  // The span to wait after a watch that stood for `stood` has ended: by itself that is no outage.
  Time Ended(Time stood) { return pushed_ || stood < kStood ? Failed() : Spread(); }

  // The span to wait after discovery took a call, kept it for `kept` and turned it away.
  Time TurnedAway(Time kept) {
    if (pushed_ || second_chance_ || kept < kBusy || std::exchange(hurried_, false)) return Failed();
    const Time latest = std::min({tier_ << std::min(failures_++, 4), kMostBusyWait, longest_});
    return Drawn(latest / 2, latest);
  }

  // The span to wait after this process had no descriptor for a call: that tells nothing of discovery.
  Time NoDescriptor() { return pushed_ ? AgentWait() : Drawn(kLeastWait, kFirst); }

  // The span to wait after one more failure.
  Time Failed() {
    if (pushed_) return AgentWait();
    if (std::exchange(second_chance_, false)) return Drawn(kLeastWait, kFirst);
    const Time first = hurried_ ? kFirst : tier_;
    return Drawn(kLeastWait, std::min({first << std::min(failures_++, 4), kMostWait, longest_}));
  }

 private:
  static constexpr Time kLeastWait = 100 * kMillisecond, kFirst = 300 * kMillisecond;
  static constexpr Time kCall =
      80 * kMillisecond;  // of discovery's time, kept free for each dispatcher's call
  static constexpr Time kLeastSpread = 50 * kMillisecond;  // what lies unread after a pause comes first
  static constexpr Time kMostSpread = 800 * kMillisecond;
  static constexpr Time kForgive = 10 * kMillisecond;
  static constexpr Time kBusy = kSecond / 2;  // who is down turns away sooner than who has a queue

  Time Drawn(Time soonest, Time latest) {
    return soonest + static_cast<Time>(random_() % static_cast<std::uint64_t>(latest - soonest));
  }
  Time Spread() { return Drawn(kLeastSpread, std::min(tier_, kMostSpread)); }
  Time AgentWait() { return Drawn(50 * kMillisecond, 150 * kMillisecond); }

  const bool pushed_;
  Time tier_, longest_, quiet_ = kQuiet;
  std::minstd_rand random_;
  int failures_ = 0;
  bool hurried_ = false;
  bool second_chance_ = false;  // a silence began, and no call has failed since
  Time silent_since_ = 0;
};

}  // namespace lichenlug
