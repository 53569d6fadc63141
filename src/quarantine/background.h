// How OTHER jobs fared at the same runner, zone and class, and over the tier, at about the same time: what a
// bad end is to be weighed against.
//
// Guards against condemning jobs for what a bad runner, a lost zone, a brown-out or a bad class did, and
// against a dispatcher that has just started, or has nothing to do, calling every end usual. What is judged
// is compared with ends under other fingerprints only. Ends come from the whole tier (signs are shared); runs
// that went well are only seen here, so they are taken times the number of dispatchers.
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
  static constexpr Time kWindow = 120 * kSecond;  // what counts as the same time
  static constexpr Time kTogether =
      2 * kSecond;  // kManyOfZone others of a zone that die within it have one cause
  static constexpr std::size_t kManyOfZone = 3;
  static constexpr std::size_t kMaxEnds = 512, kMaxNear = 32, kMaxRates = 4096, kMaxExplained = 4096;
  static constexpr double kFewTries = 20;  // own ones; with fewer, nothing is known of tier and class
  static constexpr double kFloor = 0.002;  // no run is taken for safer than that
  static constexpr double kFailedFloor = 0.05, kFailedIfPoison = 0.5;

  struct End {
    Fingerprint job;
    std::uint32_t job_class = 0;
    Sign sign;
  };

  void SetMembers(int members) { members_ = members < 1 ? 1 : members; }
  void Ran(std::uint32_t runner, std::uint32_t job_class, Outcome what, Time now);  // here, any job
  void Ended(const End& end);  // a bad end, seen here or heard of

  // The logarithm of the ratio for this end, in sixteenths: 0 when others fared as badly.
  std::uint8_t Weigh(const End& end, Time now) const;

  // Ends of other jobs that were near this one in place or time, the newest: those to be weighed anew.
  std::vector<End> Near(const End& end) const;

  // What poison did speaks against nobody else, and not for it either.
  void TakeBack(const Fingerprint& poison, const std::vector<Sign>& signs);

 private:
  struct Rate {
    double tries = 0, failed = 0;
    Time at = 0;
  };
  static void Fade(Rate* rate, Time now);
  double Tries(const std::map<std::uint32_t, Rate>& of, std::uint32_t which, Time now) const;
  Rate* In(std::map<std::uint32_t, Rate>* of, std::uint32_t which);

  int members_ = 1;
  std::map<std::pair<std::uint32_t, std::uint16_t>, Fingerprint> explained_;  // which poison ended a life
  std::deque<End> ends_;
  std::map<std::uint32_t, Rate> runners_, classes_;
  Rate all_;
};

}  // namespace lichenlug
