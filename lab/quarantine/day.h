// Days with jobs that kill runners, and days of other faults without any, in virtual time: what is served,
// how many runners each poisoned job takes, who is condemned. One seed, one result.
//
// A model made for this one question: arrivals, runners with slots that die with all that they run, clients
// that try again elsewhere. Placing is the better of two runners at random; the dispatcher's own decisions
// are not in it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace lichenlug::lab {

enum class Fault { kNone, kEighth, kZone, kStore, kClass };
enum class Holding { kToday, kCapped, kBreaker, kQuarantine };

struct PoisonDay {
  std::string name;
  int dispatchers = 12, runners = 24, poisons = 0, jobs = 100000;
  Fault fault = Fault::kNone;
  Holding holding = Holding::kToday;
  std::uint64_t seed = 1;
};

struct PoisonResult {
  double worth = 0;                 // share of the jobs that harm nobody, served in time
  double kills = 0, max_kills = 0;  // of runners by poison: a poisoned job on average, and the worst
  double late_kills = 0;            // the worst, of runs begun a second or more after its first kill
  int condemned = 0, innocents_condemned = 0;
  int innocents_held = 0;  // refused at least once
  double bytes = 0;        // a second and dispatcher, sent
};

PoisonResult Play(const PoisonDay& day);

}  // namespace lichenlug::lab
