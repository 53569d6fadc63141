// The jobs of a day, drawn ahead of everything that is done with them: two policies that play the same seed
// are asked for the same jobs at the same times.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/base/random.h"
#include "lab/model/site.h"

namespace lichenlug::lab {

struct JobSpec {
  std::uint64_t number = 0;
  Time at = 0;
  int cls = 0, tenant = rookgw::kNone;
  std::uint64_t key = 0;
  double slots = 1, work = 0;  // core time at speed 1, per slot
  Time effort = 0;             // the guess that goes with it
  std::uint64_t seed = 0;      // for what its client does
};

class Workload {
 public:
  // `capacity`: cores at speed 1 of the whole site, warm.
  Workload(const Day& day, double capacity, std::uint64_t seed);

  bool Next(JobSpec* job);                    // false: the day is over
  double rate() const { return base_rate_; }  // jobs a second, on average

 private:
  double RateAt(Time now);
  double FaultFactor(FaultKind kind, Time now, double* part) const;
  std::uint64_t DrawKey();

  const Day& day_;
  Random times_, jobs_;
  double base_rate_ = 0, swing_ = 0;
  Time at_ = 0, swing_until_ = 0;
  std::uint64_t number_ = 0;
  std::vector<double> class_share_, tenant_share_, key_share_;  // running sums, the last is 1
  std::vector<std::vector<double>> slots_share_;
};

}  // namespace lichenlug::lab
