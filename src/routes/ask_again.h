// When to call discovery again after a call failed or a watch was lost. Pure: no clock, no I/O.
//
// Guards against a herd: discovery is one service of fixed capacity for all dispatchers. When it goes down
// all watches end at one moment; dispatchers that all ask again within a second or two fill its queue, each
// call waits until it fails, and the calls that wait keep out those that would have been in time. So the
// first wait grows with how many dispatchers share the service, and doubles from there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace lichenlug {

class AskAgain {
 public:
  // A call is given up for: no connection in 1 s, then no first byte in 2.5 s. After SIGHUP all that
  // discovery has to tell counts as told within 4 s, so a call that gets no answer must leave time for
  // another.
  static constexpr Time kConnectPatience = kSecond, kFirstPatience = 2500 * kMillisecond;
  static constexpr Time kCallPatience = kConnectPatience + kFirstPatience;

  // `ask_every`: one that neither watches nor asks for that long counts as told of what it does not know; 0:
  // none.
  AskAgain(int dispatchers, Time ask_every, std::uint64_t seed)
      : tier_(std::max(kFirst, std::max(dispatchers, 1) * kCall)),
        longest_(ask_every > 0 ? std::max(2 * kFirst, ask_every * 9 / 10 - kCallPatience) : kUnbounded),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // Discovery has moved: what it tells counts as told soon, so waits are short until it has spoken.
  void Hurry() { hurried_ = true, failures_ = 0; }

  void Spoke() { hurried_ = false, failures_ = 0; }

  // The span to wait after one more failure, spread evenly over half to one and a half times its mean, or
  // over all that is left of `ask_every` once the longest a call may take is taken off.
  Time Failed() {
    const Time first = hurried_ ? kFirst : tier_;
    const Time mean = std::min(std::max(4 * first, kMost), first << std::min(failures_++, 8));
    const Time latest = std::min(mean + mean / 2, longest_);
    const Time soonest = std::max(kFirst / 2, latest - mean);
    return soonest + static_cast<Time>(random_() % static_cast<std::uint64_t>(latest - soonest));
  }

 private:
  static constexpr Time kFirst = 200 * kMillisecond, kMost = 2 * kSecond;
  static constexpr Time kCall =
      80 * kMillisecond;  // of discovery's time, kept free for each dispatcher's call

  static constexpr Time kUnbounded = 3600 * kSecond;

  Time tier_, longest_;
  std::minstd_rand random_;
  int failures_ = 0;
  bool hurried_ = false;
};

}  // namespace lichenlug
