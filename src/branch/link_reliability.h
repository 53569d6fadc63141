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

class LinkReliability {
 public:
  static constexpr Time kNeverUsed = -1;  // the age of a connection that has not been used yet

  // Records the end of an exchange on a connection that had been idle for `age`, and whether the connection
  // failed.
  void Record(Time age, bool failed, Time now) {
    Tally& tally = Bucket(age);
    tally.Decay(now);
    tally.uses += 1, tally.failures += failed ? 1 : 0;
  }

  // Whether a job should use a new connection instead of one that has been idle for `age`.
  bool Unreliable(Time age, Time now) {
    Tally &idle = Bucket(age), &unused = Bucket(kNeverUsed);
    idle.Decay(now), unused.Decay(now);
    return idle.FailureRate() > unused.FailureRate() + kExcessFailureRate;
  }

 private:
  static constexpr double kExcessFailureRate = 0.1;  // excess failure rate that is worth a handshake
  static constexpr double kPriorSuccesses = 10;      // assumed in addition to the observed uses
  static constexpr Time kDecayTime = 10 * kSecond;   // time constant of the decay of observations
  static constexpr std::size_t kBuckets = 12;        // new; under 0.1 s, 0.2 s, 0.4 s ... 51.2 s; older

  struct Tally {
    double uses = 0, failures = 0;
    Time at = 0;
    void Decay(Time now) {
      const double keep = std::exp(static_cast<double>(at - now) / kDecayTime);
      uses *= keep, failures *= keep, at = now;
    }
    double FailureRate() const { return failures / (uses + kPriorSuccesses); }
  };

  Tally& Bucket(Time age) {
    if (age < 0) return tallies_[0];
    const auto tenths = static_cast<std::uint64_t>(age) / (100 * kMillisecond);
    return tallies_[std::min<std::size_t>(1 + std::bit_width(tenths), kBuckets - 1)];
  }

  std::array<Tally, kBuckets> tallies_;
};

}  // namespace lichenlug
