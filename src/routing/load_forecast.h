// Estimates when a model or adapter that no ready runner holds will be available: its own load time plus the
// overhead observed for recent loads, which covers reporting the demand, issuing the load order and learning
// of its completion.
#pragma once

#include <unordered_map>

#include "base/clock.h"
#include "base/estimators.h"
#include "routing/runner_table.h"

namespace lichenlug::routing {

class LoadForecast {
 public:
  // Records a request that no ready runner could serve. `load` is the load time alone, 0 for an adapter.
  void RecordMissing(Time now, Holding holding, Time load);
  // Updates the expected overhead from the missing items that a ready runner now holds.
  void LearnFromRunners(Time now, const RunnerTable& runners);
  // The estimated time until it is available. The load counts as begun at the first unserved request.
  Time Remaining(Time now, Holding holding, Time load) const;

 private:
  struct Missing {
    Time since = 0, last_requested = 0, load = 0;
  };

  RunningMean& OverheadFor(Time load) { return load == 0 ? adapter_overhead_ : model_overhead_; }
  const RunningMean& OverheadFor(Time load) const { return load == 0 ? adapter_overhead_ : model_overhead_; }

  std::unordered_map<Holding, Missing> missing_;
  RunningMean model_overhead_{500.0 * kMillisecond, 1};
  RunningMean adapter_overhead_{300.0 * kMillisecond, 1};
};

}  // namespace lichenlug::routing
