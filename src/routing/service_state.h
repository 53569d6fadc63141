// The state of one service: its runners, its decision module and its retry budget.
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
#include "routing/service_scheduler.h"
#include "routing/snapshot.h"

namespace lichenlug::routing {

struct ServiceState {
  ServiceState(const std::string& service_name, const std::string& own_zone, Time retry_window)
      : name(service_name), runners(own_zone), budget(retry_window), prefer_own_zone(!own_zone.empty()) {}

  void Configure(const messages::Service& service);

  // Returns the module, which is created for the first request.
  ServiceScheduler& Scheduler(Time now, const ClassKey& first, std::uint64_t seed, int live_dispatchers);

  // Whether the operator has configured the model for the service; a service without an engine has none.
  bool HasModel(const std::string& model) const { return load_times.contains(model); }
  // The load time, without overhead, of a model or adapter that no ready runner holds: 0 for an adapter whose
  // model is loaded.
  Time LoadTime(const std::string& model, const std::string& adapter) const;

  std::string name;
  RunnerTable runners;
  RetryBudget budget;
  LoadForecast forecast;
  std::vector<RequestNumber> held;  // requests waiting for a load or for runners, in order of arrival
  std::unique_ptr<ServiceScheduler> scheduler;
  RunningMean run_time;  // of served requests, in microseconds
  bool configured = false, has_engine = false;
  bool prefer_own_zone = false;
  std::unordered_map<std::string, Time> load_times;  // by model name
};

}  // namespace lichenlug::routing
