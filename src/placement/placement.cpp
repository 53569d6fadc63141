#include "placement/placement.h"

#include <algorithm>

#include "placement/placement_impl.h"

namespace lichenlug::placement {
namespace {

constexpr Time kRunnerLifetime = 30 * kSecond;
constexpr Time kAnswerMargin = 2 * kSecond;  // after a call's deadline, until it counts as failed
// Short, because every dispatcher receives runner records continuously, and a runner refuses an order that
// was decided on outdated state.
constexpr Time kSettleAfterTakeOver = 300 * kMillisecond;
constexpr Time kRefusalDuration = 10 * kSecond;
constexpr std::size_t kMaxPromptFleet = 200;  // up to this many runners, each answer triggers a plan
constexpr std::size_t kMaxDisks = 40000, kMaxRunners = 20000;

}  // namespace

Placement::Impl::Impl(Settings settings)
    : settings_(std::move(settings)),
      budget_(settings_.origin_window, settings_.origin_overage, settings_.lease),
      planner_(settings_.seed) {}

void Placement::Impl::Act(Time now, const Input& input, Calls* calls) {
  if (input.runners) Observe(now, *input.runners);
  ExpireCalls(now);
  const bool was_active = active_;
  active_ = input.holds && input.service && input.service->has_engine() && input.epoch > fenced_epoch_ &&
            input.epoch >= epoch_;
  if (!active_) {
    if (was_active)
      for (auto& [id, runner] : runners_) runner.intent.reset();
    next_timer_.reset();
    return;
  }
  if (input.epoch != epoch_) TakeOver(now, input);
  if (input.loads) budget_.SetAllowance(input.lease_started_at, static_cast<int>(input.loads->allowance()));
  if (now >= next_plan_) Plan(now, input, calls);
  Execute(now, calls);
}

void Placement::Impl::Observe(Time now, const RunnerList& records) {
  for (const SharedRunnerRecord& shared_record : records) {
    const messages::RunnerRecord& record = *shared_record;
    if (record.service() != settings_.service || record.runner_id().empty() || record.address().empty())
      continue;
    auto it = runners_.find(record.runner_id());
    if (it == runners_.end()) {
      if (runners_.size() >= kMaxRunners) continue;
      it = runners_.emplace(record.runner_id(), Runner()).first;
    }
    if (!it->second.ledger.Observe(now, record)) continue;
    if (disks_.size() >= kMaxDisks) disks_.clear();
    std::set<std::string>& disk = disks_[record.address()];
    for (const messages::HeldModel& model : record.models())
      if (catalog_.Find(model.name()) || catalog_.models().empty()) disk.insert(model.name());
  }
}

// Forgets runners only some time after their last record, so that the state of a runner whose heartbeats were
// merely late is kept.
void Placement::Impl::ForgetRunners(Time now) {
  for (auto it = runners_.begin(); it != runners_.end();) {
    RunnerLedger& ledger = it->second.ledger;
    if (now - ledger.last_seen() <= kRunnerLifetime) {
      ++it;
      continue;
    }
    if (ledger.unsettled_load() != 0) budget_.Settle(ledger.unsettled_load(), now);
    SettleLoad(now, &ledger);
    it = runners_.erase(it);
  }
}

void Placement::Impl::TakeOver(Time now, const Input& input) {
  const bool first = input.epoch <= 1;  // nobody held the duty before
  epoch_ = input.epoch;
  budget_.SetRate(input.service->engine().loads_per_s());
  budget_.ClearAllowance();
  if (input.loads)
    budget_.Inherit(input.lease_started_at, *input.loads);
  else if (!first)
    budget_.TakeOver(now);
  scaler_.Restart(now);
  for (auto& [id, runner] : runners_) {
    runner.ledger.Restart();
    runner.intent.reset();
  }
  settle_until_ = now + (first ? settings_.heartbeat * 3 / 2 : kSettleAfterTakeOver);
  next_plan_ = settle_until_;
}

void Placement::Impl::ExpireCalls(Time now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [tag, call] : calls_)
    if (now > call.expires + kAnswerMargin) expired.push_back(tag);
  for (std::uint64_t tag : expired) Completed(now, tag, {});
}

void Placement::Impl::Completed(Time now, std::uint64_t tag, const duties::HttpResult& result) {
  const auto it = calls_.find(tag);
  if (it == calls_.end()) return;
  const PendingCall call = it->second;
  calls_.erase(it);
  next_timer_ = now;
  if (runners_.size() <= kMaxPromptFleet)
    next_plan_ = std::max(settle_until_, std::min(next_plan_, now));  // its runner may be available again
  if (call.kind == PendingCall::Kind::kFleet) {
    if (call.epoch == epoch_) scaler_.ChangeCompleted(now, FleetSizeAccepted(result));
    if (FleetSizeFenced(result)) fenced_epoch_ = std::max(fenced_epoch_, call.epoch);
    return;
  }
  if (call.kind == PendingCall::Kind::kOrder) return CompletedOrder(now, call, result);
  const auto runner = runners_.find(call.runner_id);
  if (runner == runners_.end()) return;
  if (call.epoch == epoch_) runner->second.ledger.ReportAnswered(now, ParseReport(result));
  SettleLoad(now, &runner->second.ledger);
}

void Placement::Impl::CompletedOrder(Time now, const PendingCall& call, const duties::HttpResult& result) {
  const OrderOutcome outcome = ParseOrderOutcome(result);
  if (outcome == OrderOutcome::kFenced) fenced_epoch_ = std::max(fenced_epoch_, call.epoch);
  if (outcome == OrderOutcome::kInvalid) planner_.Refuse(call.key, now + kRefusalDuration);
  const auto runner = runners_.find(call.runner_id);
  if (runner == runners_.end()) return;
  if (outcome == OrderOutcome::kInvalid) runner->second.intent.reset();
  if (call.epoch == epoch_) runner->second.ledger.OrderAnswered(now, outcome);
  SettleLoad(now, &runner->second.ledger);
}

void Placement::Impl::SettleLoad(Time now, RunnerLedger* ledger) {
  if (const auto load = ledger->TakeSettledLoad()) budget_.Settle(*load, now);
}

std::optional<messages::LoadHistory> Placement::Impl::LoadHistoryForRenewal(Time now, std::uint64_t epoch,
                                                                            bool releasing) {
  if (epoch != epoch_) return std::nullopt;
  messages::LoadHistory history = budget_.History(now);
  // The allowance applies from its first publication on: the renewal may be chosen without this holder
  // learning of it.
  if (!budget_.HasAllowance()) budget_.SetAllowance(now, static_cast<int>(history.allowance()));
  history.set_service(settings_.service);
  if (releasing) history.set_allowance(0);
  return history;
}

std::optional<Time> Placement::Impl::NextTimer() const {
  return active_ ? next_timer_ : std::optional<Time>();
}

Placement::Placement(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Placement::~Placement() = default;
void Placement::Act(Time now, const Input& input, std::vector<duties::HttpCall>* calls) {
  impl_->Act(now, input, calls);
}
void Placement::Completed(Time now, std::uint64_t tag, const duties::HttpResult& result) {
  impl_->Completed(now, tag, result);
}
std::optional<Time> Placement::NextTimer() const { return impl_->NextTimer(); }
std::optional<messages::LoadHistory> Placement::LoadHistoryForRenewal(Time now, std::uint64_t epoch,
                                                                      bool releasing) {
  return impl_->LoadHistoryForRenewal(now, epoch, releasing);
}
std::vector<std::string> Placement::TakeNotices() { return impl_->TakeNotices(); }
std::vector<std::string> Placement::Explain(Time now) const { return impl_->Explain(now); }

}  // namespace lichenlug::placement
