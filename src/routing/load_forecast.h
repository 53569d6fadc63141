// When a model or an adapter that no ready runner holds may be there: its load, and what others have taken of
// late beyond theirs, for the demand to be heard, the order to be given and its end to become known.
#pragma once

#include <unordered_map>

#include "base/clock.h"
#include "base/estimators.h"
#include "routing/runner_table.h"

namespace lichenlug::routing {

class LoadForecast {
 public:
  // It was asked for in vain; `load` is what the load takes by itself, 0 for an adapter.
  void NoteMissing(Time now, Holding holding, Time load);
  // Learns from those that a ready runner holds by now.
  void NoteRunners(Time now, const RunnerTable& runners);
  // The span until it may be there, from the first time it was asked for in vain.
  Time Remaining(Time now, Holding holding, Time load) const;

 private:
  struct Missing {
    Time since = 0, last_asked = 0, load = 0;
  };

  RunningMean& DelayOf(Time load) { return load == 0 ? adapter_delay_ : model_delay_; }
  const RunningMean& DelayOf(Time load) const { return load == 0 ? adapter_delay_ : model_delay_; }

  std::unordered_map<Holding, Missing> missing_;
  RunningMean model_delay_{500.0 * kMillisecond, 1};
  RunningMean adapter_delay_{300.0 * kMillisecond, 1};
};

}  // namespace lichenlug::routing
