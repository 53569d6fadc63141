// External callers of the control nodes: operators that change and read the configuration, and runners.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "lab/control/checkers.h"
#include "lab/control/network.h"
#include "node/control_call.h"

namespace lichenlug::lab::control {

class CallPort {
 public:
  // Without a response: the call timed out, or the connection was refused.
  using OnResponse = std::function<void(const std::optional<node::ControlResponse>& response)>;

  virtual ~CallPort() = default;
  virtual std::size_t machines() const = 0;
  // Returns machines() if no machine has the address.
  virtual MachineIndex FindByControlAddress(const std::string& address) const = 0;
  virtual void Call(MachineIndex machine, node::ControlRequest request, Time timeout,
                    OnResponse on_response) = 0;
};

// A configuration of at least `min_bytes` bytes that carries the tags of `version`.
std::string ConfigurationText(const Version& version, std::size_t min_bytes);
std::optional<Version> ReadVersion(const std::string& text);

// Makes one change of the configuration, or reads it once: tries one machine after the other until one
// answers.
class Operator {
 public:
  struct Task {
    std::string tag;              // identifies the change; empty: read only
    std::optional<Version> base;  // the version to build on; unset: read it first
    MachineIndex first_machine = 0;
    std::size_t configuration_bytes = 0;
    Time deadline = 0;
  };

  // All pointers must outlive the operator. Acknowledged changes are reported to `in_force`.
  Operator(CallPort* port, EventQueue* events, HistoryChecker* history, InForceChecker* in_force, Task task);

  void Begin() { task_.base ? Send() : Read(); }
  // `callback` receives the version that was read; lets a second operator change the same base.
  void OnRead(std::function<void(const Version&)> callback) { on_read_ = std::move(callback); }
  bool is_done() const { return is_done_; }
  std::size_t reads() const { return reads_; }

 private:
  void Read();
  void Send();
  MachineIndex NextMachine() { return next_machine_++ % port_->machines(); }
  bool FinishAtDeadline();

  CallPort* port_;
  EventQueue* events_;
  HistoryChecker* history_;
  InForceChecker* in_force_;
  Task task_;
  std::function<void(const Version&)> on_read_;
  std::size_t next_machine_;
  std::size_t reads_ = 0;
  bool is_done_ = false;
};

// A runner, reduced to the heartbeats that it sends.
class Runner {
 public:
  Runner(CallPort* port, EventQueue* events, DrainChecker* drains, std::size_t number,
         Time heartbeat_interval);

  // The last heartbeat that says ready arrives once more, this long after the runner's end was acknowledged,
  // as from a congested network.
  void RepeatHeartbeatAfterEnd(Time delay) { repeat_delay_ = delay; }

  void Start();
  void Drain();  // reports that it drains, and later that it ends
  void Leave();  // reports at once that it ends
  void Crash() { state_ = State::kStopped; }
  const std::string& id() const { return id_; }
  bool is_ready() const { return state_ == State::kReady; }

 private:
  enum class State { kReady, kDraining, kEnding, kStopped };

  void Heartbeat();
  void ScheduleHeartbeat(Time span);
  node::ControlRequest MakeRequest();
  void Acknowledged(State reported);
  void RepeatHeartbeat();

  CallPort* port_;
  EventQueue* events_;
  DrainChecker* drains_;
  std::string id_, address_;
  Time heartbeat_interval_;
  State state_ = State::kReady;
  bool call_in_flight_ = false;  // there is one call at a time
  bool end_scheduled_ = false;
  MachineIndex home_;
  std::uint64_t call_count_ = 0;
  std::optional<Time> repeat_delay_;  // none: no heartbeat is repeated, or it is scheduled already
  std::optional<node::ControlRequest> last_ready_heartbeat_;
};

}  // namespace lichenlug::lab::control
