#include "dataplane/runner_watch.h"

#include <glog/logging.h>

#include <utility>
#include <vector>

namespace lichenlug::dataplane {
namespace {

constexpr Time kCheckInterval = 150 * kMillisecond;
constexpr Time kMaxCheckDelay = 100 * kMillisecond;  // a later check is ignored: this process was delayed
constexpr int kProbeAfterChecks = 3;                 // checks without bytes before a probe
constexpr int kReprobeAfterChecks = 7;  // checks before the next probe of a machine that responded

}  // namespace

RunnerWatch::Wait::Wait(std::shared_ptr<Runner> runner, std::function<void()> unreachable)
    : runner_(std::move(runner)), unreachable_(std::move(unreachable)) {
  runner_->waits.insert(this);
}

RunnerWatch::Wait::~Wait() { runner_->waits.erase(this); }

void RunnerWatch::Wait::OnBytes() { runner_->received_bytes = true; }

RunnerWatch::RunnerWatch(asio::io_context& io, Deadlines* deadlines, DelayEstimate* connect_delays)
    : io_(io), deadlines_(deadlines), connect_delays_(connect_delays) {}

RunnerWatch::~RunnerWatch() { deadlines_->Remove(&check_timer_); }

std::unique_ptr<RunnerWatch::Wait> RunnerWatch::Begin(const std::string& runner_id,
                                                      const asio::ip::tcp::endpoint& endpoint,
                                                      std::function<void()> unreachable) {
  auto& runner = runners_[runner_id];
  if (runner == nullptr || runner->endpoint != endpoint) {
    runner = std::make_shared<Runner>();
    runner->id = runner_id, runner->endpoint = endpoint;
  }
  if (runner->waits.empty()) runner->silent_checks = 0;
  auto wait = std::make_unique<Wait>(runner, std::move(unreachable));
  Arm();
  return wait;
}

void RunnerWatch::Arm() {
  if (check_timer_ != Deadlines::Key{} || runners_.empty()) return;
  check_due_ = deadlines_->Now() + kCheckInterval;
  check_timer_ = deadlines_->Add(check_due_, [this] {
    check_timer_ = {};
    CheckRunners();
  });
}

void RunnerWatch::CheckRunners() {
  const bool delayed = deadlines_->Now() - check_due_ > kMaxCheckDelay;
  std::vector<std::shared_ptr<Runner>> checked;
  std::erase_if(runners_, [](const auto& entry) { return entry.second->waits.empty(); });
  for (const auto& [id, runner] : runners_) checked.push_back(runner);
  for (const auto& runner : checked) {
    if (delayed) runner->received_bytes = true;
    CheckRunner(runner);
  }
  Arm();
}

void RunnerWatch::CheckRunner(const std::shared_ptr<Runner>& runner) {
  if (std::exchange(runner->received_bytes, false)) {
    runner->silent_checks = 0;
    runner->probe = Probe::kNone;
    runner->socket.reset();
    return;
  }
  ++runner->silent_checks;
  ++runner->checks_since_probe;
  if (ProbeTimedOut(*runner)) return NotifyUnreachable(runner.get());
  const bool due = runner->probe == Probe::kNone ||
                   (runner->probe == Probe::kResponded && runner->checks_since_probe >= kReprobeAfterChecks);
  if (runner->silent_checks >= kProbeAfterChecks && due) StartProbe(runner);
}

bool RunnerWatch::ProbeTimedOut(const Runner& runner) const {
  return runner.probe == Probe::kConnecting &&
         deadlines_->Now() - runner.probe_started_at >= connect_delays_->Wait();
}

void RunnerWatch::StartProbe(const std::shared_ptr<Runner>& runner) {
  runner->probe = Probe::kConnecting;
  runner->checks_since_probe = 0;
  runner->probe_started_at = deadlines_->Now();
  runner->socket = std::make_unique<asio::ip::tcp::socket>(io_);
  runner->socket->async_connect(runner->endpoint,
                                [this, weak = std::weak_ptr(runner)](std::error_code error) {
                                  const auto probed = weak.lock();
                                  if (probed == nullptr || error == asio::error::operation_aborted) return;
                                  connect_delays_->Note(deadlines_->Now() - probed->probe_started_at);
                                  // A refused connection is a response, too. If the runner process has
                                  // ended, its other connections report that.
                                  if (probed->probe == Probe::kConnecting) probed->probe = Probe::kResponded;
                                  probed->socket.reset();
                                });
}

void RunnerWatch::NotifyUnreachable(Runner* runner) {
  LOG(INFO) << "runner " << runner->id << ": its machine does not respond, " << runner->waits.size()
            << " attempts are waiting for it";
  runner->probe = Probe::kNone;
  runner->socket.reset();
  runner->silent_checks = 0;
  std::vector<std::function<void()>> calls;
  for (const Wait* wait : runner->waits) calls.push_back(wait->unreachable_);
  for (const auto& call : calls) call();
}

}  // namespace lichenlug::dataplane
