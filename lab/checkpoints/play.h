// Plays one policy of checkpoint intervals over one day of deaths, in virtual time.
//
// Each runner has one slot, never idle: a job of 5 s to 2 h (log-uniform) runs on it, saves as it is told,
// loses what was not saved when the runner dies, and goes on from the last save. Worth: that of the work that
// was saved or finished, less what a job loses by being late (a third have a deadline of 1.1 to 2 times their
// length and lose half). So time spent on saves, on restarts and on work done twice costs what else could
// have been earned.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/checkpoints/day.h"

namespace lichenlug::lab {

struct Played {
  double worth = 0, after_step = 0;  // of all; of that, in the ten minutes after a step
  double saves = 0;                  // a second, mean
  double worst_minute = 0;           // the most saves a second over a minute
  double committed = 0;              // the most saves a second that plans allowed at once (ours only)
  double false_alarms = 0;           // changes believed on days that have none, an hour (ours only)
};

// none, 1, 10, 60, young, daly, daly-own, oracle, ours
std::vector<std::string> SavePolicies();

Played PlaySaves(const DeathDay& day, const std::string& policy, std::uint64_t seed);

}  // namespace lichenlug::lab
