// Reduces a failing day to few events with which the same checker still reports a violation.
#pragma once

#include "lab/control/day.h"
#include "lab/control/world.h"

namespace lichenlug::lab::control {

struct ShrinkResult {
  Day day;
  Outcome outcome;
  int plays = 0;
};

// `day` must be a failing day. Plays at most `max_plays` days.
ShrinkResult Shrink(const Day& day, int max_plays);

}  // namespace lichenlug::lab::control
