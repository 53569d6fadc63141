// Places the models and adapters of one service on its runners: takes demand as input and issues orders to
// runners and fleet sizes. Acts only on the dispatcher that holds the service's duty. An unanswered order
// counts as accepted until a report proves otherwise. A state machine without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/runner_list.h"
#include "duties/usage.h"
#include "messages/generated/configuration.pb.h"
#include "messages/generated/duties.pb.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::placement {

class Placement {
 public:
  struct Settings {
    std::string service;
    std::string holder;  // name of this dispatcher, sent in orders
    Time origin_window = 5 * kSecond;
    double origin_overage = 1.1;
    Time lease = 3 * kSecond;
    Time heartbeat = 1200 * kMillisecond;  // interval at which a runner reports what it holds
    bool scale = false;                    // also order fleet sizes
    std::uint64_t seed = 0;
  };
  struct Input {
    const messages::Service* service = nullptr;                   // null if no longer configured
    const RunnerList* runners = nullptr;                          // of all services
    const std::vector<messages::DemandReport>* demand = nullptr;  // the latest of each dispatcher
    std::uint64_t epoch = 0;
    bool holds = false;
    // Loads from the weight store as recorded in the duty's register, with ages relative to
    // `lease_started_at`; null if nothing is recorded.
    const messages::LoadHistory* loads = nullptr;
    Time lease_started_at = 0;
  };

  explicit Placement(Settings settings);
  ~Placement();

  // Appends the calls to make now: orders and, rarely, GET /-/report to runners; POST /fleet to the platform.
  void Act(Time now, const Input& input, std::vector<duties::HttpCall>* calls);
  void Completed(Time now, std::uint64_t tag, const duties::HttpResult& result);
  std::optional<Time> NextTimer() const;

  // The load history to publish with a renewal of this epoch's lease that begins now; nullopt before the
  // first Act in that epoch. `releasing`: the duty is being released, so no load follows.
  std::optional<messages::LoadHistory> LoadHistoryForRenewal(Time now, std::uint64_t epoch, bool releasing);

  // Lines for the log: what is in demand and has been held by no runner for some time, and when that ended.
  std::vector<std::string> TakeNotices();

  // Explains the placement to the operator, one line for each model or adapter in demand and for each runner.
  std::vector<std::string> Explain(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::placement
