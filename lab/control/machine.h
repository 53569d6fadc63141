// One machine in virtual time: its process, a whole control node, with disk, link and clock behind it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "lab/control/disk.h"
#include "lab/control/network.h"
#include "node/control_node.h"
#include "node/node_host.h"

namespace lichenlug::lab::control {

// What a machine needs of the world around it.
class Surroundings {
 public:
  virtual ~Surroundings() = default;
  virtual EventQueue& events() = 0;
  virtual std::mt19937_64& random() = 0;
  // A message of one node to another, by the address of the internal transport.
  virtual void SendMessage(MachineIndex from, const std::string& address, messages::Envelope envelope) = 0;
  // A call to the platform.
  virtual void CallPlatform(MachineIndex from, const duties::HttpCall& call,
                            std::function<void(duties::HttpResult)> answer) = 0;
  virtual void Installed(MachineIndex machine, const routing::Snapshot& snapshot) = 0;
  virtual void Exited(MachineIndex machine) = 0;  // by itself, after SIGTERM
};

class Machine : public node::NodeHost {
 public:
  Machine(Surroundings* testbed, MachineIndex index, node::NodeSettings settings);

  void Start();  // a process, where none runs
  void Kill();
  void Terminate();
  void Reload();
  void FreezeUntil(Time until) { frozen_until_ = std::max(frozen_until_, until); }
  void StepClock(Time step) { wall_offset_ += step; }  // seen from the next start on

  bool Runs() const { return node_ != nullptr; }
  bool IsFrozen() const { return frozen_until_ > testbed_->events().now(); }
  bool IsReady() const { return node_ != nullptr && node_->is_ready(); }
  const node::NodeSettings& settings() const { return settings_; }
  const routing::Snapshot* snapshot() const { return snapshot_.get(); }
  Disk& disk() { return disk_; }

  void Deliver(messages::Envelope envelope);
  // A call of the operator or a runner. `answer` is not called where the process ends first.
  void HandleCall(node::ControlRequest request, node::Respond answer);

  // node::NodeHost
  Time Now() const override { return testbed_->events().now() + steady_offset_; }
  Time WallNow() const override { return testbed_->events().now() + kWallAtStart + wall_offset_; }
  void Post(std::function<void()> task) override;
  void Send(const std::string& address, messages::Envelope envelope) override;
  void Forget(const std::string&) override {}
  void Call(const duties::HttpCall& call, CallDone done) override;
  void OpenStore(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) override;
  void Write(std::string key, std::string value, std::function<void(bool written)> done) override;
  void Install(std::shared_ptr<const routing::Snapshot> snapshot) override;
  dataplane::Report TakeReport() override { return {}; }
  void DrainRequests() override {}
  bool RequestsAreDrained() override { return true; }
  void Exit() override { exits_ = true; }

 private:
  static constexpr Time kWallAtStart = 1'700'000'000 * kSecond;

  // Runs `step` in the process of this life, once it is not frozen; then the node settles.
  void Enter(std::uint64_t life, std::function<void()> step);
  void EndBatch();
  void End();  // of the process

  Surroundings* testbed_;
  MachineIndex index_;
  node::NodeSettings settings_;
  Disk disk_;
  std::unique_ptr<node::ControlNode> node_;
  std::shared_ptr<const routing::Snapshot> snapshot_;
  std::uint64_t life_ = 0;
  Time steady_offset_, wall_offset_ = 0;
  Time frozen_until_ = 0;
  Time timer_at_ = 0;  // of the earliest wake that is planned; 0: none
  bool exits_ = false;
};

}  // namespace lichenlug::lab::control
