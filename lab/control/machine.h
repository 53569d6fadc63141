// One machine in virtual time: its process, which is a complete control node, with its disk, link and clocks.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "lab/control/disk.h"
#include "lab/control/network.h"
#include "node/control_node.h"
#include "node/node_host.h"

namespace lichenlug::lab::control {

// The environment of a machine.
class MachineEnvironment {
 public:
  virtual ~MachineEnvironment() = default;
  virtual EventQueue& events() = 0;
  virtual std::mt19937_64& random() = 0;
  // Sends a message to the node with this address of the internal transport.
  virtual void SendMessage(MachineIndex from, const std::string& address, messages::Envelope envelope) = 0;
  // Calls the platform.
  virtual void CallPlatform(MachineIndex from, const duties::HttpCall& call,
                            std::function<void(duties::HttpResult)> answer) = 0;
  virtual void Installed(MachineIndex machine, const routing::Snapshot& snapshot) = 0;
  virtual void Exited(MachineIndex machine) = 0;  // the process ended by itself, after SIGTERM
};

class Machine : public node::NodeHost {
 public:
  Machine(MachineEnvironment* environment, MachineIndex index, node::NodeSettings settings);

  void Start();  // starts a process unless one runs
  void Kill();
  void Terminate();
  void Reload();
  void FreezeUntil(Time until) { frozen_until_ = std::max(frozen_until_, until); }
  void StepClock(Time step) { wall_offset_ += step; }  // takes effect at the next start

  bool IsRunning() const { return node_ != nullptr; }
  bool IsFrozen() const { return frozen_until_ > environment_->events().now(); }
  bool IsReady() const { return node_ != nullptr && node_->is_ready(); }
  const node::NodeSettings& settings() const { return settings_; }
  const routing::Snapshot* snapshot() const { return snapshot_.get(); }
  Disk& disk() { return disk_; }

  void Deliver(messages::Envelope envelope);
  // Handles a call of an operator or a runner. `answer` is not called if the process ends first.
  void HandleCall(node::ControlRequest request, node::Respond answer);

  // node::NodeHost
  Time Now() const override { return environment_->events().now() + steady_offset_; }
  Time WallNow() const override { return environment_->events().now() + kWallAtStart + wall_offset_; }
  void Post(std::function<void()> task) override;
  void Send(const std::string& address, messages::Envelope envelope) override;
  void Forget(const std::string&) override {}
  void Call(const duties::HttpCall& call, CallDone done) override;
  void OpenStore(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) override;
  void Write(std::string key, std::string value, std::function<void(bool written)> done) override;
  void Erase(std::string key) override { disk_.Erase(std::move(key)); }
  void Install(std::shared_ptr<const routing::Snapshot> snapshot) override;
  dataplane::Report TakeReport() override { return {}; }
  void DrainRequests() override {}
  void StopRequestsWhenIdle() override {}
  void StopRequestsNow() override {}
  bool RequestsAreStopped() override { return true; }
  void Exit() override { exit_requested_ = true; }

 private:
  static constexpr Time kWallAtStart = 1'700'000'000 * kSecond;

  // Runs `step`, delayed until the process is no longer frozen, and then lets the node settle. Does nothing
  // if the process of this `generation` has ended.
  void RunInProcess(std::uint64_t generation, std::function<void()> step);
  void FinishStep();
  void EndProcess();

  MachineEnvironment* environment_;
  MachineIndex index_;
  node::NodeSettings settings_;
  Disk disk_;
  std::unique_ptr<node::ControlNode> node_;
  std::shared_ptr<const routing::Snapshot> snapshot_;
  std::uint64_t generation_ = 0;
  Time steady_offset_, wall_offset_ = 0;
  Time frozen_until_ = 0;
  Time timer_at_ = 0;  // the earliest scheduled wake-up; 0: none
  bool exit_requested_ = false;
};

}  // namespace lichenlug::lab::control
