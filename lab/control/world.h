// Plays a day in virtual time: machines that run complete control nodes, with operators, runners and the
// platform as their environment.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/control/callers.h"
#include "lab/control/checkers.h"
#include "lab/control/day.h"
#include "lab/control/machine.h"
#include "lab/control/network.h"

namespace lichenlug::lab::control {

struct Outcome {
  std::vector<Violation> violations;
  std::uint64_t digest = 0;  // of all messages and snapshots; identical on every host
  std::size_t changes = 0, reads = 0, drains = 0, platform_calls = 0;  // acknowledged or answered
  std::uint64_t messages = 0, bytes = 0, dropped = 0;
  std::map<std::string, std::uint64_t> bytes_by_kind;  // message bodies, without headers
  Time elapsed = 0;
  std::optional<Time> recovered_after;  // from the end of the last fault until all agree
};

// Deterministic: the same day gives the same outcome.
Outcome Play(const Day& day);

// The maximum number of bytes that the machines, changes and restarts of a day account for.
std::uint64_t ByteBudget(const Day& day, std::size_t changes, std::size_t starts, Time elapsed);

class Testbed : public MachineEnvironment, public CallPort {
 public:
  explicit Testbed(const Day& day);
  ~Testbed() override;

  Outcome Run();

 private:
  // Surroundings
  EventQueue& events() override { return events_; }
  std::mt19937_64& random() override { return random_; }
  void SendMessage(MachineIndex from, const std::string& address, messages::Envelope envelope) override;
  void CallPlatform(MachineIndex from, const duties::HttpCall& call,
                    std::function<void(duties::HttpResult)> answer) override;
  void Installed(MachineIndex machine, const routing::Snapshot& snapshot) override;
  void Exited(MachineIndex machine) override;
  // CallPort
  std::size_t machines() const override { return machines_.size(); }
  MachineIndex FindByControlAddress(const std::string& address) const override;
  void Call(MachineIndex machine, node::ControlRequest request, Time timeout,
            OnResponse on_response) override;

  node::NodeSettings SettingsOf(MachineIndex index) const;
  void StartAll();
  void Inject(const Event& event);
  void InjectProcessFault(const Event& event, MachineIndex machine);
  void InjectNetworkFault(const Event& event, MachineIndex machine);
  void InjectDiskFault(const Event& event, MachineIndex machine);
  void PowerOff(const Event& event);
  void Split(const Event& event);
  void Wipe(const Event& event, MachineIndex machine);
  void StartAfter(MachineIndex machine, Time span);
  void ApplyQuota(MachineIndex machine, Time until);
  void MarkDisturbed(MachineIndex machine, Time until);

  void Check();
  void UpdateDisturbances();
  bool IsDisturbed(MachineIndex machine) const;
  std::int64_t EditionAt(MachineIndex machine) const;
  bool AllUpToDate() const;
  void Finish();
  void AddToDigest(std::uint64_t number);

  Day day_;
  std::mt19937_64 random_;
  EventQueue events_;
  Network network_;
  Violations violations_;
  HistoryChecker history_;
  InForceChecker in_force_;
  DrainChecker drains_;
  HolderChecker holders_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, MachineIndex> by_internal_address_;
  std::vector<std::unique_ptr<Operator>> operators_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<Time> disturbed_until_, last_disturbed_;  // by machine
  std::vector<Time> loses_answers_until_;
  std::vector<Time> start_after_exit_;  // after SIGTERM
  std::size_t wiped_disks_ = 0, starts_ = 0, pending_starts_ = 0;
  std::uint64_t messages_ = 0;
  Time last_start_ = 0;
  bool fence_checked_;
  Outcome outcome_;
};

}  // namespace lichenlug::lab::control
