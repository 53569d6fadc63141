// Decides which idle keep-alive connections to runners are reliable enough for a job, by the recent failure
// rate of connections with a similar idle time. No clock, no I/O.
//
// Some machines drop idle connections long before the timeout in the settings, and the next request on one
// gets a reset. That request may have run, so a job that must not run twice is lost. A new connection costs a
// handshake; therefore an idle one is rejected only if connections with its idle time failed clearly more
// often than new ones. Probes and DELETEs use any connection: their failure costs nothing, and their success
// shows that the condition has ended.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

#include "base/clock.h"

namespace lichenlug {

class KeptLinks {
 public:
  static constexpr Time kNew = -1;  // the age of a connection that has not been used yet

  // Records the end of an exchange on a connection that had been idle for `age`, and whether the connection
  // failed.
  void Note(Time age, bool broke, Time now) {
    Tally& tally = At(age);
    tally.Fade(now);
    tally.uses += 1, tally.broke += broke ? 1 : 0;
  }

  // Whether a job should use a new connection instead of one that has been idle for `age`.
  bool Unfit(Time age, Time now) {
    Tally &old = At(age), &fresh = At(kNew);
    old.Fade(now), fresh.Fade(now);
    return old.Share() > fresh.Share() + kMargin;
  }

 private:
  static constexpr double kMargin = 0.1;         // excess failure rate that is worth a handshake
  static constexpr double kDoubt = 10;           // successful uses assumed in addition to the observed ones
  static constexpr Time kMemory = 10 * kSecond;  // time constant of the decay of observations
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
