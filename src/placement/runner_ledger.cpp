#include "placement/runner_ledger.h"

#include <algorithm>
#include <utility>

namespace lichenlug::placement {
namespace {

constexpr Time kInitialBackoff = 300 * kMillisecond;
constexpr int kMaxDoublings = 5;
constexpr Time kReportLag = 150 * kMillisecond;  // a report may show a slightly older state
constexpr Time kMaxBusyWait = 2 * kSecond, kOtherRunnerWait = 2 * kSecond, kUnusableWait = 5 * kSecond;
constexpr Time kShortWork = 100 * kMillisecond;
constexpr int kMaxEarlyReports = 5;  // reports requested before relying on heartbeats alone
constexpr int kMaxStaleReports = 3;  // consecutive ones that are ignored before one is accepted
constexpr Time kLatePollInterval = 3 * kSecond;
constexpr int kWorkTimeFactor = 3;
constexpr Time kWorkTimeSlack = 3 * kSecond;

HeldSet HeldByRecord(const messages::RunnerRecord& record) {
  HeldSet held;
  for (const messages::HeldModel& model : record.models()) {
    held.Add({model.name(), ""});
    for (const std::string& adapter : model.adapters()) held.Add({model.name(), adapter});
  }
  return held;
}

}  // namespace

bool RunnerLedger::Observe(Time now, const messages::RunnerRecord& record) {
  last_seen_ = now;
  const bool first = record_.runner_id().empty();
  if (!first && record.call_count() <= record_.call_count() && record.state() == record_.state())
    return false;
  record_ = record;
  reported_ = HeldByRecord(record);
  if (phase_ == Phase::kWorking) FinishLoad();
  // The record differs from the known state although nothing was ordered: the state has to be read again.
  else if (phase_ == Phase::kIdle && reported_ != confirmed_)
    phase_ = Phase::kUnread;
  return true;
}

// Completes the load in progress if a heartbeat after its order shows it.
void RunnerLedger::FinishLoad() {
  if (!record_confirms_ || record_.call_count() <= record_at_order_ || !reported_.Reflects(*in_flight_))
    return;
  HeldSet held = confirmed_;
  held.Add(in_flight_->key);
  Confirm(held);
}

void RunnerLedger::Restart() {
  if (phase_ == Phase::kOrdered && in_flight_->kind == Order::Kind::kLoad) unanswered_.Add(in_flight_->key);
  in_flight_.reset();
  report_pending_ = false;
  phase_ = Phase::kUnread;
  report_requests_ = failures_ = stale_reports_ = 0;
  not_before_ = 0;
}

bool RunnerLedger::NeedsReport(Time now, bool wanted) const {
  if (now < not_before_ || report_pending_) return false;
  if (phase_ == Phase::kUnread) return wanted;
  if (phase_ != Phase::kWorking) return false;
  if (now >= ordered_at_ + work_time_ * kWorkTimeFactor + kWorkTimeSlack)
    return now >= report_requested_at_ + kLatePollInterval;
  const Time due =
      std::max(ordered_at_ + work_time_, report_requested_at_) + (kReportLag << report_requests_);
  return (wanted || !record_confirms_) && report_requests_ < kMaxEarlyReports && now >= due;
}

bool RunnerLedger::CanOrder(Time now) const { return phase_ == Phase::kIdle && now >= not_before_; }

void RunnerLedger::ReportSent(Time now) {
  report_requested_at_ = now;
  report_pending_ = true;
  ++report_requests_;
  if (phase_ == Phase::kUnread) phase_ = Phase::kReading;
}

void RunnerLedger::ReportAnswered(Time now, const std::variant<RunnerReport, ReportError>& answer) {
  report_pending_ = false;
  if (phase_ != Phase::kReading && phase_ != Phase::kWorking) return;
  const bool working = phase_ == Phase::kWorking;
  if (!working) phase_ = Phase::kUnread;
  const RunnerReport* report = std::get_if<RunnerReport>(&answer);
  if (!report) {
    if (!working)
      BackOff(now, std::get<ReportError>(answer) == ReportError::kFieldMissing ? kUnusableWait : 0);
    return;
  }
  if (report->orders_accepted < orders_accepted_ &&
      ++stale_reports_ <= kMaxStaleReports) {  // predates the order
    if (!working) not_before_ = now + kInitialBackoff;
    return;
  }
  if (report->busy) {
    if (!working) not_before_ = now + std::clamp(work_time_ / 2, kInitialBackoff, kMaxBusyWait);
    return;
  }
  // An unanswered load that wasn't accepted may still arrive, until another order with its number is
  // accepted.
  if (report->orders_accepted != orders_accepted_) DropUnanswered();
  orders_accepted_ = report->orders_accepted;
  Confirm(report->held);
}

void RunnerLedger::OrderSent(Time now, const Order& order, Time work_time, std::uint64_t load) {
  in_flight_ = order;
  if (load != 0) unsettled_load_ = load;
  phase_ = Phase::kOrdered;
  ordered_at_ = now;
  work_time_ = work_time;
  record_at_order_ = record_.call_count();
  // A heartbeat can show that an unload has begun; only a report shows that it is complete.
  record_confirms_ = order.kind == Order::Kind::kLoad && !reported_.Reflects(order);
  report_requests_ = 0;
  report_requested_at_ = 0;
}

void RunnerLedger::OrderAnswered(Time now, OrderOutcome outcome) {
  if (phase_ != Phase::kOrdered) return;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      phase_ = Phase::kWorking;
      ++orders_accepted_;
      failures_ = 0;
      DropUnanswered();
      FinishLoad();
      return;
    case OrderOutcome::kUnknown:
      if (in_flight_->kind == Order::Kind::kLoad) unanswered_.Add(in_flight_->key);
      break;
    case OrderOutcome::kConflict:
    case OrderOutcome::kOtherRunner:
      DropUnanswered();
      break;
    case OrderOutcome::kAlreadyDone:
    case OrderOutcome::kFenced:
    case OrderOutcome::kInvalid:
      if (unanswered_.models().empty()) DropUnanswered();
      break;
  }
  in_flight_.reset();
  phase_ = Phase::kUnread;
  BackOff(now, outcome == OrderOutcome::kOtherRunner ? kOtherRunnerWait : 0);
}

const HeldSet& RunnerLedger::held() const {
  const bool known = phase_ == Phase::kIdle || phase_ == Phase::kOrdered || phase_ == Phase::kWorking;
  return known ? confirmed_ : reported_;
}

bool RunnerLedger::Available(Time now) const {
  if (record_.state() != messages::RUNNER_READY || (failures_ > 0 && now < not_before_)) return false;
  return !in_flight_ || work_time_ <= kShortWork;
}

HeldSet RunnerLedger::Expected() const {
  HeldSet expected = held();
  if (!in_flight_) return expected;
  if (in_flight_->kind == Order::Kind::kLoad)
    expected.Add(in_flight_->key);
  else
    expected.Remove(in_flight_->key);
  return expected;
}

HeldSet RunnerLedger::MayHold() const {
  HeldSet held = this->held();
  if (phase_ == Phase::kUnread || phase_ == Phase::kReading) held.AddAll(confirmed_);
  held.AddAll(unanswered_);
  if (in_flight_ && in_flight_->kind == Order::Kind::kLoad) held.Add(in_flight_->key);
  return held;
}

std::optional<std::uint64_t> RunnerLedger::TakeSettledLoad() {
  if (settled_load_ == 0) return std::nullopt;
  return std::exchange(settled_load_, 0);
}

void RunnerLedger::Confirm(const HeldSet& held) {
  confirmed_ = held;
  in_flight_.reset();
  phase_ = Phase::kIdle;
  failures_ = report_requests_ = stale_reports_ = 0;
  not_before_ = 0;
}

void RunnerLedger::BackOff(Time now, Time min_delay) {
  not_before_ = now + std::max(min_delay, kInitialBackoff << std::min(failures_, kMaxDoublings));
  ++failures_;
}

void RunnerLedger::DropUnanswered() {
  if (unsettled_load_ != 0) settled_load_ = std::exchange(unsettled_load_, 0);
  unanswered_ = {};
}

}  // namespace lichenlug::placement
