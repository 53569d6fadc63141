// What is held of one service: its runners, its decision module and its retry budget.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/estimators.h"
#include "messages/generated/configuration.pb.h"
#include "routing/decisions.h"
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
  ServiceBrain& Brain(Time now, const Arrival& first, std::uint64_t seed, int live_dispatchers);

  // Models that the operator has given the service; a service without an engine has none.
  bool Knows(const std::string& model) const { return load_times.contains(model); }
  // When a request that no ready runner can serve had best come again: when what it needs may be loaded.
  Time LoadTime(const std::string& model, const std::string& adapter) const;

  std::string name;
  RunnerTable runners;
  RetryBudget budget;
  std::unique_ptr<ServiceBrain> brain;
  RunningMean run_time;  // of answers, in microseconds
  bool configured = false, has_engine = false;
  bool zoned = false;
  std::unordered_map<std::string, Time> load_times;  // of models, by name
};

}  // namespace lichenlug::routing
