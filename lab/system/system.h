// A small system on loopback: real dispatchers, and stand-ins of runners, platform, operator and clients, all
// in a temporary folder that goes with it.
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
  bool core_serves_clients = true;  // false: machines with a disk have no address for clients
  int tolerated_losses = 1;         // of disks at once
  int runners = 6;
  DeploymentTimes times;
};

class System {
 public:
  explicit System(const SystemPlan& plan);
  ~System();

  // Starts all, the runners too, and has the first configuration taken. False: not ready everywhere in time.
  bool Found(Time timeout);
  void StartDispatchers();  // their first start
  void StartRunners();
  bool TakeFirstConfiguration(Time timeout);
  // Every dispatcher is ready and every runner's heartbeat acknowledged.
  bool WaitReady(Time timeout);
  bool SaysReady(std::size_t dispatcher);
  // Until the edition is in force at each running dispatcher.
  bool WaitEdition(std::int64_t edition, Time timeout);

  nlohmann::json Status(std::size_t dispatcher);  // null: no answer
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
