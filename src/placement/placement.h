// Where each model and adapter stands: demand in, orders to runners and fleet sizes out. Acts only on the
// holder of the duty of its service. An order with no answer counts as taken until a report proves otherwise.
// A state machine.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "duties/usage.h"
#include "messages/generated/configuration.pb.h"
#include "messages/generated/duties.pb.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::placement {

class Placement {
 public:
  struct Settings {
    std::string service;
    std::string holder;  // name of this dispatcher, in orders
    Time origin_window = 5 * kSecond;
    double origin_overage = 1.1;
    Time lease = 3 * kSecond;
    Time heartbeat = 1200 * kMillisecond;  // how often a runner tells what it holds
    bool scale = false;                    // order fleet sizes too
    std::uint64_t seed = 0;
  };
  struct Input {
    const messages::Service* service = nullptr;                    // null: not in the configuration any more
    const std::vector<messages::RunnerRecord>* runners = nullptr;  // of all services
    const std::vector<messages::DemandReport>* demand = nullptr;   // the newest of each dispatcher
    std::uint64_t epoch = 0;
    bool holds = false;
    // What the duty's register tells of loads from the weight store, for the moment `lease_started_at`; null:
    // nothing.
    const messages::LoadHistory* loads = nullptr;
    Time lease_started_at = 0;
  };

  explicit Placement(Settings settings);
  ~Placement();

  // Calls it wants made now: orders and, rarely, GET /-/report at runners; POST /fleet at the platform.
  void Act(Time now, const Input& input, std::vector<duties::HttpCall>* calls);
  void Completed(Time now, std::uint64_t tag, const duties::HttpResult& result);
  std::optional<Time> NextTimer() const;

  // What is to be told with a renewal of the lease of this epoch that begins now; none before it has acted in
  // it. `ends`: the duty is given up, so nothing is loaded after it.
  std::optional<messages::LoadHistory> TellLoads(Time now, std::uint64_t epoch, bool ends);

  // Why each model stands where it does, a line each, for the operator.
  std::vector<std::string> Explain(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::placement
