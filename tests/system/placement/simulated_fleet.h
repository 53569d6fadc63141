// Simulates runners that execute orders according to their interface, dispatchers that hold the duty one
// after another, a network that loses and delays messages, and clients that request models. Checks invariants
// on every order. Time advances in fixed steps.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "placement/catalog.h"
#include "placement/placement.h"

namespace lichenlug::placement {

struct SimulatedRunner {
  std::string id, address, zone;
  HeldSet held;
  std::optional<Order> in_progress;
  Time done_at = 0;
  std::uint64_t orders_accepted = 0, fence = 0, heartbeats = 0;
  Time next_heartbeat = 0;
  bool draining = false;
  bool silent = false;  // sends neither heartbeats nor answers
};

struct SimulationOptions {
  int runners = 9;
  int zones = 3;
  int models = 30;
  int slots = 64;
  int adapters = 12;  // of every third model
  double loads_per_s = 2.6;
  double lost_request = 0, lost_answer = 0, late_request = 0;
  Time max_delay = 4 * kSecond;                  // maximum delay of late requests
  Time assumed_heartbeat = 1200 * kMillisecond;  // heartbeat period that the holders assume
  bool fences_checked = true;
  bool prefilled = true;  // each model is held by a runner at the start, as far as capacity allows
  std::uint64_t seed = 1;
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(SimulationOptions options);

  void Run(Time span);
  void SetDemand(const Key& key, double requests_per_s, double work_s = 1);  // a rate of 0 ends the demand
  void SetZipfDemand(double requests_per_s, int first_model, int models);
  void Crash(std::size_t runner, Time downtime);  // restarts empty
  void Drain(std::size_t runner) { runners_[runner].draining = true; }
  void SetSilent(std::size_t runner, bool silent) { runners_[runner].silent = silent; }
  void FailOver(Time pause);  // a new holder without any state takes over after the pause

  bool IsLoaded(const Key& key) const;  // whether a ready runner holds the key
  double unserved_share() const { return unserved_ / std::max(1.0, requested_); }
  void ResetCounts() { orders_ = loads_ = probes_ = 0, unserved_ = requested_ = 0; }
  int orders() const { return orders_; }
  int loads() const { return loads_; }
  int probes() const { return probes_; }
  const std::vector<std::string>& violations() const { return violations_; }  // violations of invariants
  Time now() const { return now_; }
  const messages::Service& service() const { return service_; }
  std::vector<SimulatedRunner>& runners() { return runners_; }
  Placement& placement() { return *placement_; }
  std::string ModelName(int number) const { return "m" + std::to_string(number); }
  // Changes an answer before it is delivered.
  std::function<void(duties::HttpResult*)> mutate;
  // Changes a record before it is delivered.
  std::function<void(messages::RunnerRecord*)> mutate_record;
  std::function<void(const duties::HttpCall&)> on_call;

 private:
  struct ClientDemand {
    double per_s = 0, work_s = 1;
    double unserved = 0;  // recently, decaying
  };
  struct Event {
    Time at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  void At(Time at, std::function<void()> run) { events_.push({at, ++event_number_, std::move(run)}); }
  bool Chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
  Time Between(Time min, Time max) { return std::uniform_int_distribution<Time>(min, max)(random_); }

  void StepRunners();
  void Heartbeat(SimulatedRunner* runner);
  void StepClients();
  void StepHolder();
  void RenewLease();
  std::unique_ptr<Placement> NewHolder();
  void Send(const duties::HttpCall& call);
  duties::HttpResult Serve(const duties::HttpCall& call, bool late);
  duties::HttpResult HandleOrder(SimulatedRunner* runner, const duties::HttpCall& call, bool late);
  std::string ReportOf(const SimulatedRunner& runner) const;
  void CheckOrder(const SimulatedRunner& runner, const Order& order, bool accepted, bool late);
  void CheckHolder(const std::string& runner, const std::string& holder, std::uint64_t epoch);

  SimulationOptions options_;
  std::mt19937_64 random_;
  messages::Service service_;
  Catalog catalog_;
  std::vector<SimulatedRunner> runners_;
  std::map<std::string, std::set<std::string>> disks_;
  std::map<std::string, messages::RunnerRecord> records_;
  std::map<Key, ClientDemand> client_demand_;
  std::vector<messages::DemandReport> reports_;
  std::priority_queue<Event> events_;
  std::uint64_t event_number_ = 0, report_number_ = 0;
  std::unique_ptr<Placement> placement_;
  std::optional<messages::LoadHistory> published_loads_;  // as stored in the duty's register
  Time lease_started_at_ = 0;
  std::uint64_t epoch_ = 1;
  int starts_ = 0, holders_ = 0;
  bool holds_ = true;
  bool input_changed_ = true;
  Time now_ = 1000 * kSecond;
  Time next_report_ = 0;
  int orders_ = 0, loads_ = 0, probes_ = 0;
  double unserved_ = 0, requested_ = 0;
  std::vector<Time> loads_begun_;
  std::map<std::uint64_t, std::string> holder_of_epoch_;
  std::vector<std::string> violations_;
};

}  // namespace lichenlug::placement
