// Makes a failing day smaller: the fewest events with which the same judge still finds something.
#pragma once

#include "lab/control/day.h"
#include "lab/control/world.h"

namespace lichenlug::lab::control {

struct Shrunk {
  Day day;
  Outcome outcome;
  int plays = 0;
};

// `day` fails. Plays it `max_plays` times at the most.
Shrunk Shrink(const Day& day, int max_plays);

}  // namespace lichenlug::lab::control
