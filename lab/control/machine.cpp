#include "lab/control/machine.h"

#include <algorithm>
#include <utility>

namespace lichenlug::lab::control {

namespace {

constexpr Time kMinStepDuration = 50;  // a timer that is due at once fires this much later

}  // namespace

Machine::Machine(MachineEnvironment* environment, MachineIndex index, node::NodeSettings settings)
    : environment_(environment),
      index_(index),
      settings_(std::move(settings)),
      disk_(&environment->events(), &environment->random()),
      // The steady clocks of different machines are unrelated.
      steady_offset_(static_cast<Time>(index + 1) * 1000 * kSecond) {}

void Machine::Start() {
  if (IsRunning()) return;
  node::NodeIdentity identity;
  identity.incarnation = static_cast<std::uint64_t>(WallNow());
  identity.seed = environment_->random()();
  ++generation_;
  timer_at_ = 0;
  exit_requested_ = false;
  frozen_until_ = 0;
  node_ = std::make_unique<node::ControlNode>(this, settings_, identity);
  settings_.first_run = false;  // for later starts
  RunInProcess(generation_, [this] { node_->Start(); });
}

void Machine::EndProcess() {
  if (!IsRunning()) return;
  ++generation_;
  disk_.OnProcessEnd();
  node_.reset();
  snapshot_.reset();
}

void Machine::Kill() { EndProcess(); }

void Machine::Terminate() {
  RunInProcess(generation_, [this] { node_->BeginDrain(); });
}

void Machine::Reload() {
  RunInProcess(generation_, [this] { node_->ReloadSettings(settings_); });
}

void Machine::RunInProcess(std::uint64_t generation, std::function<void()> step) {
  if (!IsRunning() || generation != generation_) return;
  if (IsFrozen()) {
    environment_->events().At(frozen_until_,
                              [this, generation, step = std::move(step)] { RunInProcess(generation, step); });
    return;
  }
  step();
  FinishStep();
}

void Machine::FinishStep() {
  if (exit_requested_) {
    EndProcess();
    return environment_->Exited(index_);
  }
  node_->Settle();
  const Time now = environment_->events().now();
  const Time at = std::max(node_->NextTimer() - steady_offset_, now + kMinStepDuration);
  if (timer_at_ > now && timer_at_ <= at) return;
  timer_at_ = at;
  environment_->events().At(at, [this, at, generation = generation_] {
    if (timer_at_ != at) return;  // an earlier wake-up has been scheduled since
    RunInProcess(generation, [this] {
      timer_at_ = 0;
      node_->Tick();
    });
  });
}

void Machine::Deliver(messages::Envelope envelope) {
  RunInProcess(generation_, [this, envelope = std::move(envelope)] { node_->Receive(envelope); });
}

void Machine::HandleCall(node::ControlRequest request, node::Respond answer) {
  RunInProcess(generation_, [this, request = std::move(request), answer = std::move(answer)] {
    node_->HandleControl(request, answer);
  });
}

void Machine::Post(std::function<void()> task) {
  environment_->events().After(
      0, [this, generation = generation_, task = std::move(task)] { RunInProcess(generation, task); });
}

void Machine::Send(const std::string& address, messages::Envelope envelope) {
  envelope.set_sender_address(settings_.internal_address);
  environment_->SendMessage(index_, address, std::move(envelope));
}

void Machine::Call(const duties::HttpCall& call, CallDone done) {
  environment_->CallPlatform(
      index_, call, [this, generation = generation_, done = std::move(done)](duties::HttpResult result) {
        RunInProcess(generation, [done, result = std::move(result)] { done(result); });
      });
}

void Machine::OpenStore(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) {
  disk_.Open(new_replica_id,
             [this, generation = generation_, done = std::move(done)](node::StoreContents contents) {
               RunInProcess(generation, [done, contents = std::move(contents)] { done(contents); });
             });
}

void Machine::Write(std::string key, std::string value, std::function<void(bool written)> done) {
  disk_.Write(std::move(key), std::move(value),
              [this, generation = generation_, done = std::move(done)](bool written) {
                RunInProcess(generation, [done, written] { done(written); });
              });
}

void Machine::Install(std::shared_ptr<const routing::Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  environment_->Installed(index_, *snapshot_);
}

}  // namespace lichenlug::lab::control
