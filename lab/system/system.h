// A small system on loopback: real dispatchers with simulated runners, platform, operator and clients. Its
// files are in a temporary directory that is removed with it.
#pragma once

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/system/clients.h"
#include "lab/system/dispatcher.h"
#include "lab/system/ingress.h"
#include "lab/system/ledger.h"
#include "lab/system/loop.h"
#include "lab/system/operator.h"
#include "lab/system/platform.h"
#include "lab/system/runner.h"

namespace lichenlug::standins {

struct SystemPlan {
  std::filesystem::path program;  // lichenlugd
  int core = 3;                   // dispatchers with disks
  int diskless = 1;
  bool core_serves_clients = true;  // false: dispatchers with a disk have no client address
  int tolerated_losses = 1;         // simultaneous losses of disks
  int runners = 6;
  int memory_mb = 260, descriptors = 1024;  // limits of each dispatcher
  DeploymentTimes times;
};

class System {
 public:
  explicit System(const SystemPlan& plan);
  ~System();

  // Starts the dispatchers and runners and sends the first configuration. False: not all were ready in time.
  bool Found(Time timeout);
  void StartDispatchers();  // with `first_run` set
  void StartRunners();
  bool TakeFirstConfiguration(Time timeout);
  // Waits until every dispatcher is ready and has passed its probe, and every runner's heartbeat is
  // acknowledged.
  bool WaitReady(Time timeout);
  bool SaysReady(std::size_t dispatcher);
  // Waits until the edition is in force at each running dispatcher.
  bool WaitEdition(std::int64_t edition, Time timeout);

  nlohmann::json Status(std::size_t dispatcher);  // null: no response
  std::string Logs() const;                       // of all dispatchers

  Loop& loop() { return loop_; }
  Ledger& ledger() { return ledger_; }
  Platform& platform() { return platform_; }
  Operator& the_operator() { return *operator_; }
  Clients& clients() { return *clients_; }
  Ingress& ingress() { return *ingress_; }
  Dispatcher& dispatcher(std::size_t index) { return *dispatchers_[index]; }
  std::size_t dispatcher_count() const { return dispatchers_.size(); }
  Runner& runner(std::size_t index) { return *runners_[index]; }
  std::size_t runner_count() const { return runners_.size(); }
  std::vector<std::string> ControlAddresses() const;

 private:
  void MakeDispatchers(const SystemPlan& plan);
  void MakeRunners(const SystemPlan& plan);

  Loop loop_;
  Ledger ledger_;
  std::filesystem::path folder_;
  Platform platform_;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<Operator> operator_;
  std::unique_ptr<Clients> clients_;
};

}  // namespace lichenlug::standins
