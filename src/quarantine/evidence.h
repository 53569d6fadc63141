// What is known against a job: signs, each of one run at one life of one runner.
//
// A sequential probability ratio test (Wald, "Sequential Tests of Statistical Hypotheses", Annals of
// Mathematical Statistics 16, 1945). Hypotheses: the job kills what runs it (a run ends badly with
// kBadIfPoison) or it does not (a run ends badly as often as those of other jobs at that place and time,
// background.h). Each sign carries the logarithm of that ratio. Error rates: kInnocent, an innocent job
// condemned, and kMissed, a poisoned one let go.
//
// Guards against one bad runner condemning a job (signs count once a runner and life, a runner's second life
// half), and against facts that arrive twice, late or in another order (a set that merges).
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace lichenlug {

// How a run ended for the runner, by rank of what it says.
enum class Outcome : std::uint8_t {
  kNothing,    // given up by the caller, not connected, drained: says nothing
  kSucceeded,  // the runner lived
  kFailed,     // answered `failed`: weak, the client's data may be bad
  kHung,       // the runner answered nobody until it was given up
  kDied,       // the runner's life ended under it
};

inline constexpr double kBadIfPoison = 0.9;
inline constexpr double kInnocent = 1e-5, kMissed = 0.01;
inline const double kCondemnAt = std::log((1 - kMissed) / kInnocent);  // 11.5
inline const double kSettledAt = std::log(kMissed / (1 - kInnocent));  // -4.6: no more watched
inline constexpr double kStrongAt = 4;         // from here on one run at a time in the whole tier
inline constexpr double kMaxFailedWeight = 3;  // all `failed` together: never strong by themselves
inline constexpr double kLived = 2.3;          // ln(1 / (1 - kBadIfPoison)): what a success takes off
inline constexpr Time kHalfLife = 1800 * kSecond;

struct Sign {
  std::uint32_t runner = 0;  // a hash of its name
  std::uint16_t life = 0;    // a hash of its life
  std::uint8_t runner_kind = 0, zone = 0;
  Outcome what = Outcome::kNothing;
  std::uint8_t weight = 0;  // in sixteenths; others that fare ill there lower it, nothing raises it
  Time at = 0;

  bool bad() const { return what == Outcome::kDied || what == Outcome::kHung; }
  int rank() const { return bad() ? 0 : what == Outcome::kSucceeded ? 1 : 2; }
  bool SameAs(const Sign& o) const { return rank() == o.rank() && runner == o.runner && life == o.life; }
  bool operator<(const Sign& o) const {
    if (rank() != o.rank()) return rank() < o.rank();
    return runner != o.runner ? runner < o.runner : life < o.life;
  }
};

inline std::uint8_t ToWeight(double nats) {
  return static_cast<std::uint8_t>(std::lround(std::clamp(nats, 0.0, 15.0) * 16));
}

class Evidence {
 public:
  static constexpr std::size_t kMax = 8;  // bad ends stay longest

  // True: something new. Of the same place the smaller weight, the worse end and the earlier time stay.
  bool Add(const Sign& sign);
  bool Lower(const Sign& place, std::uint8_t weight);
  bool Merge(const Evidence& other);

  // The logarithm of the ratio, summed over kinds of runner: that one kind lives does not speak for another.
  double Sum(Time now) const;
  int strikes() const;  // runner lives that ended or hung under it and are not explained otherwise
  Time last_strike() const;
  const std::vector<Sign>& signs() const { return signs_; }

 private:
  std::vector<Sign> signs_;  // sorted
};

}  // namespace lichenlug
