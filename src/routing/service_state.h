// What is held of one service: its runners, its decision module and its retry budget.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/estimators.h"
#include "messages/generated/configuration.pb.h"
#include "routing/decisions.h"
#include "routing/load_forecast.h"
#include "routing/retry_budget.h"
#include "routing/runner_table.h"
#include "routing/service_brain.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

struct ServiceState {
  ServiceState(const std::string& service_name, const std::string& own_zone, Time retry_window)
      : name(service_name), runners(own_zone), budget(retry_window), zoned(!own_zone.empty()) {}

  void Configure(const messages::Service& service);

  // The module, made for the first request.
  ServiceScheduler& Scheduler(Time now, const ClassKey& first, std::uint64_t seed, int live_dispatchers);

  // Models that the operator has given the service; a service without an engine has none.
  bool Knows(const std::string& model) const { return load_times.contains(model); }
  // What the load of what no ready runner holds takes by itself: nothing for an adapter of a model that is
  // there.
  Time LoadTime(const std::string& model, const std::string& adapter) const;

  std::string name;
  RunnerTable runners;
  RetryBudget budget;
  LoadForecast forecast;
  std::vector<RequestNumber> held;  // for what may be loaded in time, the first to come first
  std::unique_ptr<ServiceScheduler> scheduler;
  RunningMean run_time;  // of answers, in microseconds
  bool configured = false, has_engine = false;
  bool zoned = false;
  std::unordered_map<std::string, Time> load_times;  // of models, by name
};

}  // namespace lichenlug::routing
