#include "dataplane/runner_watch.h"

#include <glog/logging.h>

#include <utility>
#include <vector>

namespace lichenlug::dataplane {
namespace {

constexpr Time kCheckInterval = 150 * kMillisecond;
constexpr Time kOwnPause = 100 * kMillisecond;  // a later check is ignored: this process was delayed
constexpr int kAskAfterLooks = 3;               // checks without bytes before a probe
constexpr int kAskAgainAfterLooks = 7;          // checks before the next probe of a machine that responded

}  // namespace

RunnerWatch::Wait::Wait(std::shared_ptr<Runner> runner, std::function<void()> unreachable)
    : runner_(std::move(runner)), unreachable_(std::move(unreachable)) {
  runner_->waits.insert(this);
}

RunnerWatch::Wait::~Wait() { runner_->waits.erase(this); }

void RunnerWatch::Wait::Heard() { runner_->heard = true; }

RunnerWatch::RunnerWatch(asio::io_context& io, Deadlines* deadlines, DelayEstimate* connects)
    : io_(io), deadlines_(deadlines), connects_(connects) {}

RunnerWatch::~RunnerWatch() { deadlines_->Remove(&next_look_); }

std::unique_ptr<RunnerWatch::Wait> RunnerWatch::Begin(const std::string& runner_id,
                                                      const asio::ip::tcp::endpoint& endpoint,
                                                      std::function<void()> unreachable) {
  auto& runner = runners_[runner_id];
  if (runner == nullptr || runner->endpoint != endpoint) {
    runner = std::make_shared<Runner>();
    runner->id = runner_id, runner->endpoint = endpoint;
  }
  if (runner->waits.empty()) runner->quiet_looks = 0;
  auto wait = std::make_unique<Wait>(runner, std::move(unreachable));
  Arm();
  return wait;
}

void RunnerWatch::Arm() {
  if (next_look_ != Deadlines::Key{} || runners_.empty()) return;
  look_due_ = deadlines_->Now() + kCheckInterval;
  next_look_ = deadlines_->Add(look_due_, [this] {
    next_look_ = {};
    Look();
  });
}

void RunnerWatch::Look() {
  const bool paused = deadlines_->Now() - look_due_ > kOwnPause;
  std::vector<std::shared_ptr<Runner>> looked_at;
  std::erase_if(runners_, [](const auto& entry) { return entry.second->waits.empty(); });
  for (const auto& [id, runner] : runners_) looked_at.push_back(runner);
  for (const auto& runner : looked_at) {
    if (paused) runner->heard = true;
    LookAt(runner);
  }
  Arm();
}

void RunnerWatch::LookAt(const std::shared_ptr<Runner>& runner) {
  if (std::exchange(runner->heard, false)) {
    runner->quiet_looks = 0;
    runner->probe = Probe::kNone;
    runner->socket.reset();
    return;
  }
  ++runner->quiet_looks;
  ++runner->probe_looks;
  if (AnswerIsMissing(*runner)) return TellUnreachable(runner.get());
  const bool due = runner->probe == Probe::kNone ||
                   (runner->probe == Probe::kAnswered && runner->probe_looks >= kAskAgainAfterLooks);
  if (runner->quiet_looks >= kAskAfterLooks && due) Ask(runner);
}

bool RunnerWatch::AnswerIsMissing(const Runner& runner) const {
  return runner.probe == Probe::kConnecting && deadlines_->Now() - runner.asked_at >= connects_->Wait();
}

void RunnerWatch::Ask(const std::shared_ptr<Runner>& runner) {
  runner->probe = Probe::kConnecting;
  runner->probe_looks = 0;
  runner->asked_at = deadlines_->Now();
  runner->socket = std::make_unique<asio::ip::tcp::socket>(io_);
  runner->socket->async_connect(runner->endpoint,
                                [this, weak = std::weak_ptr(runner)](std::error_code error) {
                                  const auto asked = weak.lock();
                                  if (asked == nullptr || error == asio::error::operation_aborted) return;
                                  connects_->Note(deadlines_->Now() - asked->asked_at);
                                  // A refused connection is a response, too. If the runner process has
                                  // ended, its other connections report that.
                                  if (asked->probe == Probe::kConnecting) asked->probe = Probe::kAnswered;
                                  asked->socket.reset();
                                });
}

void RunnerWatch::TellUnreachable(Runner* runner) {
  LOG(INFO) << "runner " << runner->id << ": its machine does not respond, " << runner->waits.size()
            << " attempts are waiting for it";
  runner->probe = Probe::kNone;
  runner->socket.reset();
  runner->quiet_looks = 0;
  std::vector<std::function<void()>> calls;
  for (const Wait* wait : runner->waits) calls.push_back(wait->unreachable_);
  for (const auto& call : calls) call();
}

}  // namespace lichenlug::dataplane
