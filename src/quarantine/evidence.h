// The evidence against a job: signs, each from one run on one life of one runner.
//
// A sequential probability ratio test (Wald, "Sequential Tests of Statistical Hypotheses", Annals of
// Mathematical Statistics 16, 1945). Hypotheses: the job kills its runners (a run ends badly with probability
// kBadIfPoison), or it doesn't (a run ends badly as often as those of other jobs at that place and time,
// background.h). Each sign carries the log likelihood ratio. Error rates: kFalsePositiveRate, the probability
// that an innocent job is condemned, and kFalseNegativeRate, that a poison job is cleared.
//
// One bad runner can't condemn a job: signs count once per runner and life, and further lives of a runner
// count half. The set merges, so duplicated, delayed or reordered facts have no effect.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace lichenlug {

// How a run ended for the runner, in order of the strength of the evidence.
enum class Outcome : std::uint8_t {
  kNothing,    // cancelled by the caller, not connected, drained: no evidence
  kSucceeded,  // the runner survived
  kFailed,     // answered `failed`: weak evidence, as the client's data may be bad
  kHung,       // the runner stopped responding until it was given up
  kDied,       // the runner's life ended during the run
};

inline constexpr double kBadIfPoison = 0.9;
inline constexpr double kFalsePositiveRate = 1e-5, kFalseNegativeRate = 0.01;
inline const double kCondemnAt = std::log((1 - kFalseNegativeRate) / kFalsePositiveRate);  // 11.5
// -4.6: no longer watched.
inline const double kClearedAt = std::log(kFalseNegativeRate / (1 - kFalsePositiveRate));
inline constexpr double kSuspectAt = 4;  // from this value on, one run at a time in the whole tier
inline constexpr double kMaxFailedWeight =
    3;  // sum of all `failed` signs: never reaches kSuspectAt by itself
inline constexpr double kSuccessWeight =
    2.3;  // ln(1 / (1 - kBadIfPoison)): the amount that a success subtracts
inline constexpr Time kHalfLife = 1800 * kSecond;

struct Sign {
  std::uint32_t runner = 0;  // a hash of its name
  std::uint16_t life = 0;    // a hash of its life
  std::uint8_t runner_kind = 0, zone = 0;
  Outcome what = Outcome::kNothing;
  std::uint8_t weight = 0;  // in sixteenths; lowered by bad ends of other jobs there, never raised
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
  static constexpr std::size_t kMax = 8;  // bad ends are evicted last

  // Returns true if anything changed. For the same place the smaller weight, the worse end and the earlier
  // time are kept.
  bool Add(const Sign& sign);
  bool Lower(const Sign& place, std::uint8_t weight);
  bool Merge(const Evidence& other);

  // The log likelihood ratio, summed over kinds of runner: survival of one kind is no evidence for another.
  double Sum(Time now) const;
  int strikes() const;  // runner lives that ended or hung during its runs without another explanation
  Time last_strike() const;
  const std::vector<Sign>& signs() const { return signs_; }

 private:
  std::vector<Sign> signs_;  // sorted
};

}  // namespace lichenlug
