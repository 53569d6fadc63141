// Days on which runners die: how often, when it steps, whether zones fall and whether the young die more. The
// deaths of a day and seed are drawn before it is played, so that all policies meet the same.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lichenlug::lab {

struct DeathDay {
  std::string name;
  int runners = 30;
  double rate = 1.0 / 60;  // deaths a second over the tier
  double hours = 4;
  bool steps = false;     // tenfold from the half to three quarters of the day
  double zone_falls = 0;  // a second, any zone
  double young = 1;       // times the rate of old ones, in a life's first 30 s
  double bound = 1e6;     // saves a second at the store
  static constexpr int kZones = 3;

  double seconds() const { return hours * 3600; }
  double RateAt(double at) const {  // of one old runner, by itself
    const bool high = steps && at >= seconds() / 2 && at < seconds() * 3 / 4;
    return rate / runners * (high ? 10 : 1);
  }
  // Of one runner, all causes, mean over the ages from `age` to `age + span`.
  double TrueRate(double at, double age, double span) const;
  // The minutes after a step; the first ones of the day are no step.
  bool AfterStep(double at) const {
    const auto within = [&](double step) { return at >= step && at < step + 600; };
    return steps && (within(seconds() / 2) || within(seconds() * 3 / 4));
  }
};

std::vector<DeathDay> DeathDays();

// Times of death of each runner, in order.
std::vector<std::vector<double>> DrawDeaths(const DeathDay& day, std::uint64_t seed);

}  // namespace lichenlug::lab
