// Estimates the death rates of runners and their uncertainty.
//
// Deaths and exposure decay with Facts::kHalfLife. A rate is pooled over levels, each the prior of the next:
// tier, zone, kind within the zone, runner. With Gamma priors and Poisson counts the mean at a level is
// (k + deaths) / (k / mean above + exposure) with k = kPriorDeaths deaths. The top level's prior is half a
// death in kPriorExposure: with no deaths seen the rate is small and bounded (`upper`), never zero. Runners
// younger than kYoung have separate rates, whose prior is the rate of all. Many deaths in a zone within
// kEventWindow count as one zone event; the zone's event rate, times the share of the zone that died, is
// added to the rate of each runner there.
//
// After a statistically significant change only later data counts: the maximum likelihood ratio over change
// points 10 s to 4 h ago, each 1.5 times as far back as the one before, must exceed e^kChangeThreshold. False
// alarms: see docs/measurements/checkpoints.md.
//
// All sums are integer sums over ordered facts, and the rest is +, -, *, / in a fixed order: dispatchers with
// the same facts compute bit-identical rates within the same second.
#pragma once

#include <array>
#include <map>
#include <utility>
#include <vector>

#include "checkpoints/facts.h"

namespace lichenlug {

struct Rate {
  double mean = 0;   // deaths a second
  double sd = 0;     // standard deviation of the estimate
  double upper = 0;  // 95% upper bound
};

class Rates {
 public:
  static constexpr Time kYoung = 30 * kSecond, kEventWindow = 2 * kSecond;
  static constexpr double kPriorDeaths = 8, kPriorExposure = 1800;  // deaths; runner-seconds
  static constexpr double kChangeThreshold = 12;

  Rates() = default;
  Rates(const Facts& facts, Time now);  // as of the last full second

  Rate RateOf(std::uint32_t runner, int kind, int zone, bool young) const;
  // The mean over the time from age `age` to `age + span`, both in seconds.
  Rate RateOver(std::uint32_t runner, int kind, int zone, double age, double span) const;

  Time since() const { return since_; }   // time of the last detected change; 0: none within the horizon
  int events() const { return events_; }  // zone events within the horizon

 private:
  struct Tally {
    std::int64_t deaths = 0, exposure = 0;  // sums of weights and of weight differences (see Seconds)
    double Deaths() const;
    double Seconds() const;
  };
  using Ages = std::array<Tally, 2>;  // old, young
  struct Death {
    Ticks at;
    LifeKey key;
  };

  void Add(Ages* ages, const LifeKey& key, const Life& life, bool died) const;
  std::int64_t Weight(Ticks at) const;
  void FindEvents(const Facts& facts, std::map<int, std::vector<Death>> by_zone,
                  std::vector<LifeKey>* event_deaths);
  void FindChange(const Facts& facts, const std::vector<LifeKey>& event_deaths);
  static double PooledMean(double above, const Tally& tally);

  Ticks now_ = 0, from_ = 0;
  Time since_ = 0;
  int events_ = 0;
  struct Event {
    int zone;
    Ticks at;
    double share;
  };
  std::vector<Event> zone_events_;
  Ages tier_;
  std::map<int, Ages> zones_;
  std::map<std::pair<int, int>, Ages> kinds_;
  std::map<std::uint32_t, Ages> runners_;
  std::map<int, double> zone_rate_;
};

}  // namespace lichenlug
