#include "lab/control/machine.h"

#include <algorithm>
#include <utility>

namespace lichenlug::lab::control {

namespace {

constexpr Time kStepTakes = 50;  // minimum duration of a step; a timer that is due at once fires after it

}  // namespace

Machine::Machine(Surroundings* testbed, MachineIndex index, node::NodeSettings settings)
    : testbed_(testbed),
      index_(index),
      settings_(std::move(settings)),
      disk_(&testbed->events(), &testbed->random()),
      // The steady clocks of different machines are unrelated.
      steady_offset_(static_cast<Time>(index + 1) * 1000 * kSecond) {}

void Machine::Start() {
  if (Runs()) return;
  node::NodeIdentity identity;
  identity.incarnation = static_cast<std::uint64_t>(WallNow());
  identity.seed = testbed_->random()();
  ++life_;
  timer_at_ = 0;
  exits_ = false;
  frozen_until_ = 0;
  node_ = std::make_unique<node::ControlNode>(this, settings_, identity);
  settings_.first_run = false;  // for later starts
  Enter(life_, [this] { node_->Start(); });
}

void Machine::End() {
  if (!Runs()) return;
  ++life_;
  disk_.ProcessEnds();
  node_.reset();
  snapshot_.reset();
}

void Machine::Kill() { End(); }

void Machine::Terminate() {
  Enter(life_, [this] { node_->BeginDrain(); });
}

void Machine::Reload() {
  Enter(life_, [this] { node_->ReloadSettings(settings_); });
}

void Machine::Enter(std::uint64_t life, std::function<void()> step) {
  if (!Runs() || life != life_) return;
  if (IsFrozen()) {
    testbed_->events().At(frozen_until_, [this, life, step = std::move(step)] { Enter(life, step); });
    return;
  }
  step();
  EndBatch();
}

void Machine::EndBatch() {
  if (exits_) {
    End();
    return testbed_->Exited(index_);
  }
  node_->Settle();
  const Time now = testbed_->events().now();
  const Time at = std::max(node_->NextTimer() - steady_offset_, now + kStepTakes);
  if (timer_at_ > now && timer_at_ <= at) return;
  timer_at_ = at;
  testbed_->events().At(at, [this, at, life = life_] {
    if (timer_at_ != at) return;  // an earlier wake-up has been scheduled since
    Enter(life, [this] {
      timer_at_ = 0;
      node_->Tick();
    });
  });
}

void Machine::Deliver(messages::Envelope envelope) {
  Enter(life_, [this, envelope = std::move(envelope)] { node_->Receive(envelope); });
}

void Machine::HandleCall(node::ControlRequest request, node::Respond answer) {
  Enter(life_, [this, request = std::move(request), answer = std::move(answer)] {
    node_->HandleControl(request, answer);
  });
}

void Machine::Post(std::function<void()> task) {
  testbed_->events().After(0, [this, life = life_, task = std::move(task)] { Enter(life, task); });
}

void Machine::Send(const std::string& address, messages::Envelope envelope) {
  envelope.set_sender_address(settings_.internal_address);
  testbed_->SendMessage(index_, address, std::move(envelope));
}

void Machine::Call(const duties::HttpCall& call, CallDone done) {
  testbed_->CallPlatform(index_, call,
                         [this, life = life_, done = std::move(done)](duties::HttpResult result) {
                           Enter(life, [done, result = std::move(result)] { done(result); });
                         });
}

void Machine::OpenStore(const std::string& new_replica_id, std::function<void(node::StoreContents)> done) {
  disk_.Open(new_replica_id, [this, life = life_, done = std::move(done)](node::StoreContents contents) {
    Enter(life, [done, contents = std::move(contents)] { done(contents); });
  });
}

void Machine::Write(std::string key, std::string value, std::function<void(bool written)> done) {
  disk_.Write(std::move(key), std::move(value), [this, life = life_, done = std::move(done)](bool written) {
    Enter(life, [done, written] { done(written); });
  });
}

void Machine::Install(std::shared_ptr<const routing::Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  testbed_->Installed(index_, *snapshot_);
}

}  // namespace lichenlug::lab::control
