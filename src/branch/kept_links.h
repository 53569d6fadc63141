// Which kept connections to runners are fit for a job, by how those of like age fared of late. Pure: no
// clock, no I/O.
//
// Guards against machines that drop idle connections long before the time in the settings and say so only to
// the next request: that request is lost as a reset, may have run, and a job that must not run twice is then
// lost for good. A new connection costs a handshake; so a kept one is passed over where connections as old as
// it broke clearly more often than new ones do. Probes and DELETEs go over any, cost nothing when they break,
// and show when the trouble is over.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

#include "base/clock.h"

namespace lichenlug {

class KeptLinks {
 public:
  static constexpr Time kNew = -1;  // the age of a connection that has carried nothing yet

  // An exchange over a connection that had stood idle for `age` ended: the connection broke, or did not.
  void Note(Time age, bool broke, Time now) {
    Tally& tally = At(age);
    tally.Fade(now);
    tally.uses += 1, tally.broke += broke ? 1 : 0;
  }

  // Would a job do better over a new connection than over one that has stood idle for `age`?
  bool Unfit(Time age, Time now) {
    Tally &old = At(age), &fresh = At(kNew);
    old.Fade(now), fresh.Fade(now);
    return old.Share() > fresh.Share() + kMargin;
  }

 private:
  static constexpr double kMargin = 0.1;         // of new ones' breaks: what a handshake is worth
  static constexpr double kDoubt = 10;           // uses that went well, counted beside those seen
  static constexpr Time kMemory = 10 * kSecond;  // what was seen counts less with time, over about this long
  static constexpr std::size_t kAges = 12;       // new; under 0.1 s, 0.2 s, 0.4 s ... 51.2 s; older

  struct Tally {
    double uses = 0, broke = 0;
    Time at = 0;
    void Fade(Time now) {
      const double keep = std::exp(static_cast<double>(at - now) / kMemory);
      uses *= keep, broke *= keep, at = now;
    }
    double Share() const { return broke / (uses + kDoubt); }
  };

  Tally& At(Time age) {
    if (age < 0) return tallies_[0];
    const auto doubled = static_cast<std::uint64_t>(age) / (100 * kMillisecond);
    return tallies_[std::min<std::size_t>(1 + std::bit_width(doubled), kAges - 1)];
  }

  std::array<Tally, kAges> tallies_;
};

}  // namespace lichenlug
