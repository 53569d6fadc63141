// Estimates how OTHER jobs fared on the same runner, in the same zone and class, and over the tier, at about
// the same time: the baseline against which a bad end is weighed.
//
// Without it, jobs would be condemned for the effects of a bad runner, a zone failure, a brown-out or a bad
// job class, and a dispatcher that has just started or is idle would take every bad end for normal. A job is
// compared only with ends under other fingerprints. Bad ends come from the whole tier (signs are shared);
// successful runs are only known locally, so their number is multiplied by the number of dispatchers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "quarantine/evidence.h"
#include "quarantine/fingerprint.h"

namespace lichenlug {

class Background {
 public:
  static constexpr Time kWindow = 120 * kSecond;  // ends within this span count as simultaneous
  // Deaths of kMinZoneFailures other runners of a zone within this span have a common cause.
  static constexpr Time kZoneFailureWindow = 2 * kSecond;
  static constexpr std::size_t kMinZoneFailures = 3;
  static constexpr std::size_t kMaxEnds = 512, kMaxNearby = 32, kMaxRates = 4096, kMaxExplained = 4096;
  static constexpr double kMinTries = 20;  // local tries; with fewer, there is no estimate for tier and class
  static constexpr double kMinBadRate = 0.002;  // lower bound of the baseline probability of a bad end
  static constexpr double kMinFailedRate = 0.05, kFailedIfPoison = 0.5;

  struct End {
    Fingerprint job;
    std::uint32_t job_class = 0;
    Sign sign;
  };

  void SetMembers(int members) { members_ = members < 1 ? 1 : members; }
  // Records a local run of any job.
  void RecordRun(std::uint32_t runner, std::uint32_t job_class, Outcome what, Time now);
  // Records a bad end, seen locally or received from a peer.
  void Ended(const End& end);

  // The log likelihood ratio for this end, in sixteenths; 0 if other jobs fared as badly.
  std::uint8_t WeightOf(const End& end, Time now) const;

  // The newest ends of other jobs that were close to this one in place or time; they must be reweighed.
  std::vector<End> NearbyEnds(const End& end) const;

  // Removes the ends caused by a poison job, so that they neither count against other jobs nor raise the
  // baseline in its favour.
  void Exonerate(const Fingerprint& poison, const std::vector<Sign>& signs);

 private:
  struct Rate {
    double tries = 0, failed = 0;
    Time at = 0;
  };
  static void Decay(Rate* rate, Time now);
  double Tries(const std::map<std::uint32_t, Rate>& of, std::uint32_t which, Time now) const;
  Rate* FindOrAddRate(std::map<std::uint32_t, Rate>* of, std::uint32_t which);

  int members_ = 1;
  // The poison job that ended a life, by runner and life.
  std::map<std::pair<std::uint32_t, std::uint16_t>, Fingerprint> explained_;
  std::deque<End> ends_;
  std::map<std::uint32_t, Rate> runners_, classes_;
  Rate all_;
};

}  // namespace lichenlug
