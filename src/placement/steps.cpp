// Turns plans into calls: intents are executed step by step, and each step is decided on what the runner may
// hold at that time.
#include <algorithm>

#include "placement/placement_impl.h"

namespace lichenlug::placement {
namespace {

constexpr Time kPlanInterval = 200 * kMillisecond, kLargePlanInterval = kSecond;
constexpr std::size_t kLargeFleet = 1000;
constexpr Time kIntentLifetime = 15 * kSecond;
constexpr int kMaxFailures = 3;
constexpr std::size_t kMinPrepared = 2, kRunnersPerPrepared = 4;  // unload ahead of the store's budget
constexpr Time kStepInterval = 50 * kMillisecond;

}  // namespace

void Placement::Impl::Plan(Time now, const Input& input, Calls* calls) {
  static const std::vector<messages::DemandReport> kNoReports;
  next_plan_ = now + (runners_.size() > kLargeFleet ? kLargePlanInterval : kPlanInterval);
  ForgetRunners(now);
  catalog_.Assign(input.service->engine());
  budget_.SetRate(catalog_.loads_per_s());
  demand_.Update(now, settings_.service, input.demand ? *input.demand : kNoReports, catalog_);
  DropIntents(now);
  view_ = View(now);
  EstimateLoads(demand_, catalog_.slots(), &view_);
  const PlanContext context{now, &catalog_, &demand_, &view_, &planner_.placed(), LoadsLeft(now)};
  for (const Assignment& assignment : planner_.Plan(context))
    runners_.at(view_.runners[assignment.runner].id).intent = assignment.intent;
  NoteMissing(now);
  if (!settings_.scale || !input.service->has_fleet()) return;
  const auto change = scaler_.Decide(context, input.service->fleet());
  if (!change) return;
  PendingCall pending;
  pending.kind = PendingCall::Kind::kFleet;
  Send(now, pending, MakeFleetCall(settings_.service, change->zone, change->size, epoch_), calls);
}

// Intents whose load has not been ordered already claim a part of the weight store's budget.
int Placement::Impl::LoadsLeft(Time now) const {
  const auto waiting = std::count_if(runners_.begin(), runners_.end(), [](const auto& entry) {
    const auto& [id, runner] = entry;
    return runner.intent && runner.intent->target.is_model() && runner.ledger.unsettled_load() == 0;
  });
  const std::size_t prepared = std::max(kMinPrepared, runners_.size() / kRunnersPerPrepared);
  return budget_.Remaining(now) + static_cast<int>(prepared) - static_cast<int>(waiting);
}

void Placement::Impl::DropIntents(Time now) {
  for (auto& [id, runner] : runners_) {
    if (!runner.intent) continue;
    const Key& target = runner.intent->target;
    const Demand& demand = target.is_model() ? demand_.OfModel(target.model) : demand_.Of(target);
    const bool usable = runner.ledger.record().state() == messages::RUNNER_READY &&
                        runner.ledger.last_seen() == now && runner.ledger.failures() < kMaxFailures;
    const bool wanted = demand.present() || runner.intent->urgency == Urgency::kPrefetch;
    if (!usable || !wanted || !catalog_.Contains(target) || now - runner.intent->since > kIntentLifetime)
      runner.intent.reset();
  }
}

FleetView Placement::Impl::View(Time now) const {
  FleetView view;
  view.disks = &disks_;
  for (const auto& [id, runner] : runners_) {
    const RunnerLedger& ledger = runner.ledger;
    if (ledger.record().state() != messages::RUNNER_READY || ledger.last_seen() != now) continue;
    RunnerView entry;
    entry.id = id;
    entry.zone = ledger.record().zone();
    entry.address = ledger.record().address();
    entry.available = !runner.intent && ledger.Available(now);
    entry.held = ledger.held();
    entry.may_hold = ledger.MayHold();
    entry.expected = ledger.Expected();
    if (runner.intent) entry.expected.Add(runner.intent->target);
    for (const auto& [model, adapters] : entry.expected.models()) {
      view.holders[{model, ""}].push_back(view.runners.size());
      for (const std::string& adapter : adapters)
        view.holders[{model, adapter}].push_back(view.runners.size());
    }
    view.runners.push_back(std::move(entry));
  }
  return view;
}

void Placement::Impl::Execute(Time now, Calls* calls) {
  std::vector<std::pair<double, const std::string*>> order;  // by the intent's worth, descending
  bool waiting = false;
  for (auto& [id, runner] : runners_) {
    const RunnerLedger::Phase phase = runner.ledger.phase();
    if (runner.intent || phase == RunnerLedger::Phase::kWorking)
      order.emplace_back(runner.intent ? runner.intent->worth : 0, &id);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  for (const auto& [worth, id] : order) {
    Runner& runner = runners_.at(*id);
    Step(now, *id, &runner, calls);
    waiting = waiting || runner.intent || runner.ledger.phase() == RunnerLedger::Phase::kWorking;
  }
  next_timer_ = waiting ? std::min(next_plan_, now + kStepInterval) : next_plan_;
}

void Placement::Impl::Step(Time now, const std::string& id, Runner* runner, Calls* calls) {
  const messages::RunnerRecord& record = runner->ledger.record();
  if (record.state() != messages::RUNNER_READY || runner->ledger.last_seen() != now) return;
  if (runner->ledger.NeedsReport(now, runner->intent.has_value())) return SendReport(now, id, runner, calls);
  if (runner->intent && runner->ledger.CanOrder(now)) StepIntent(now, id, runner, calls);
}

void Placement::Impl::StepIntent(Time now, const std::string& id, Runner* runner, Calls* calls) {
  RunnerLedger& ledger = runner->ledger;
  const Intent intent = *runner->intent;
  const Key& target = intent.target;
  const bool lacks_model = !target.is_model() && !ledger.held().Holds({target.model, ""});
  if (ledger.held().Holds(target) || lacks_model) {
    runner->intent.reset();
    return;
  }
  if (catalog_.Fits(ledger.MayHold(), target)) {
    const bool counted = target.is_model() && ledger.unsettled_load() == 0;
    if (counted && budget_.Remaining(now) == 0) return;  // waits for the weight store's budget
    return SendOrder(now, id, runner, {Order::Kind::kLoad, target}, calls);
  }
  RunnerView view;
  view.id = id;
  view.held = ledger.held();
  view.may_hold = ledger.MayHold();
  const auto victims =
      FindVictims({now, &catalog_, &demand_, &view_, &planner_.placed()}, view, target, intent.worth);
  if (!victims || victims->keys.empty()) {
    runner->intent.reset();
    return;
  }
  SendOrder(now, id, runner, {Order::Kind::kUnload, victims->keys.front()}, calls);
}

void Placement::Impl::SendOrder(Time now, const std::string& id, Runner* runner, const Order& order,
                                Calls* calls) {
  RunnerLedger& ledger = runner->ledger;
  const bool is_load = order.kind == Order::Kind::kLoad;
  std::uint64_t load = 0;
  if (is_load && order.key.is_model())
    load = ledger.unsettled_load() ? ledger.unsettled_load() : budget_.Begin(now);
  PendingCall pending;
  pending.kind = PendingCall::Kind::kOrder;
  pending.runner_id = id;
  pending.key = order.key;
  Send(now, pending, MakeOrderCall(order, ledger.orders_accepted(), settings_.holder, epoch_), calls);
  ledger.OrderSent(now, order, is_load ? catalog_.LoadTime(order.key) : 0, load);
}

void Placement::Impl::SendReport(Time now, const std::string& id, Runner* runner, Calls* calls) {
  PendingCall pending;
  pending.kind = PendingCall::Kind::kReport;
  pending.runner_id = id;
  Send(now, pending, MakeReportCall(), calls);
  runner->ledger.ReportSent(now);
}

void Placement::Impl::Send(Time now, PendingCall pending, duties::HttpCall call, Calls* calls) {
  call.tag = next_tag_++;
  if (pending.kind != PendingCall::Kind::kFleet) {
    call.address = runners_.at(pending.runner_id).ledger.record().address();
    call.expect_runner = pending.runner_id;
  }
  pending.epoch = epoch_;
  pending.expires = now + call.timeout;
  calls_.emplace(call.tag, std::move(pending));
  calls->push_back(std::move(call));
}

}  // namespace lichenlug::placement
