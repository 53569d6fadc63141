// The decisions of one dispatcher node. Interface: include/rookgw/brain.h. Design: docs/design/decisions.md.
//
// A job's key hashes to its home on a ring of workers; its set widens clockwise from there over eligible
// workers until their capacity covers the key's estimated demand; the least loaded member runs the job. This
// is the ordinary path (placing.h); demand.h and room.h supply the estimates. Every dispatch and every end of
// a request passes gate.h, which enforces the four rules. This file routes events to the layers.
#include "decisions/check.h"
#include "decisions/placing.h"

namespace rookgw {

using namespace internal;

class Scheduler::Impl : public Placement {
 public:
  Impl(Settings settings, std::uint64_t seed) : Placement(Validated(std::move(settings)), seed) {}

  void Start(Time now) {
    now_ = started_at_ = now;
    for (std::size_t t = 0; t < quota_.size(); ++t) quota_[t] = {now, QuotaBurst(static_cast<int>(t))};
    if (s_.list_on_request) SubscribeToList();
    Emit(SetTimer{kSweepInterval, "sweep"});
  }

  void Handle(Time now, const Event& event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& e) { On(e); }, event);
    ArmTimer();
  }

  int AddClass(ClassSettings added) {
    Settings more = s_;
    more.classes.push_back(std::move(added)), s_ = Validated(std::move(more));
    run_times_.emplace_back(), longest_wait_.emplace_back();
    for (Worker& w : workers_) w.health.emplace_back();
    return static_cast<int>(s_.classes.size()) - 1;
  }

  void SetInstances(int instances) { s_.instances = std::max(1, instances); }

  TableSizes sizes() const { return {workers_.size(), requests_.size(), waiting_.size(), keys_.size()}; }

 private:
  void On(const RequestArrived& e) {
    const ClassSettings& cls = s_.classes.at(e.cls);
    if (e.tenant != kNone) s_.tenants.at(e.tenant);
    auto [it, fresh] = requests_.try_emplace(e.id);
    if (!fresh) return;
    Request& r = it->second;
    r.id = e.id;
    r.hash = e.key ? Mix(*e.key ^ 0x9e3779b97f4a7c15ULL) : HashText(cls.name);
    r.slots = std::max(e.slots, 0.0), r.needs = e.needs;
    r.valid_until = e.valid_until, r.cls = e.cls, r.tenant = e.tenant;
    // A client's retry keeps the aim of its first try, whose time follows from how much of the longest wait
    // seen is left: once the aim has passed, the job is not worth slots that others could still use.
    longest_wait_[e.cls] = std::max(longest_wait_[e.cls], r.valid_until - now_);
    const bool repeat = e.repeat || !s_.repeats_marked;
    const Time first_try = repeat ? r.valid_until - longest_wait_[e.cls] : now_;
    r.latest_start = std::min(first_try + cls.aim, r.valid_until);
    r.over_share = TakeQuota(e.tenant);
    r.sequence = ++last_sequence_;
    deadlines_.push({r.valid_until - EndMargin(), r.id});
    arrivals_.Add(now_);
    const double demand = RecordArrival(r);
    if (!Place(r, demand)) Enqueue(r);
  }

  void On(const AttemptUpdate& e) {
    Request* r = Find(e.id);
    if (r == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (a.run_state != RunState::kOpen) return;
    Worker& w = workers_[a.worker];
    if (std::exchange(a.unaccepted, false)) --w.health[r->cls].unaccepted;
    if (e.kind == AttemptUpdate::Kind::kStarted && a.started == 0) {
      a.started = now_;
      --w.unstarted;
    }
    MarkResponsive(w);
  }

  void On(const AttemptEnded& e) {
    Request* r = Find(e.id);
    auto named = index_.find(e.worker);
    if (named != index_.end() && e.outcome != Outcome::kVoid) {
      RecordReport(workers_[named->second], e.report);
      if (e.outcome == Outcome::kFull) RecordFull(workers_[named->second]);
    }
    if (r == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (a.run_state != RunState::kOpen) return;
    Worker& w = workers_[a.worker];
    UseSlots(w, -r->slots);
    if (a.started == 0) --w.unstarted;
    if (std::exchange(a.unaccepted, false)) --w.health[r->cls].unaccepted;
    const bool never_ran =
        e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kVoid;
    a.run_state = never_ran ? RunState::kNeverRan : RunState::kMayHaveRun;
    UpdateEstimates(*r, a, w, e.outcome);
    if (e.complete && !r->ended) r->ended = true, Dequeue(*r);
    if (r->ended || e.outcome == Outcome::kServed)
      EraseIfClosed(*r);
    else
      Retry(*r);
    ServeQueue(4);
  }

  void UpdateEstimates(const Request& r, const Attempt& a, Worker& w, Outcome outcome) {
    if (outcome == Outcome::kServed) {
      const double took = now_ - (a.started != 0 ? a.started : a.sent), slowness = took / RunTime(r.cls);
      slowness_.Add(slowness);
      if (w.kind != kNone) kind_slowness_[w.kind].Add(slowness);
      run_times_[r.cls].Add(took), all_run_times_.Add(took);
      AddFailures(r.cls, w.health[r.cls], -1);
    }
    if (outcome == Outcome::kError) AddFailures(r.cls, w.health[r.cls], s_.failures_per_error);
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kTimeout)
      Eject(w);
    else if (outcome != Outcome::kCancelled && outcome != Outcome::kVoid)
      MarkResponsive(w);
    if (HasSlotReports()) return;
    const double in_use = w.used + r.slots, previous = w.learned;
    if (outcome == Outcome::kServed)
      w.learned = std::max(w.learned, in_use) + r.slots / std::max(in_use, 1.0);
    if (outcome == Outcome::kFull || outcome == Outcome::kTimeout)
      w.learned = std::max(1.0, 0.8 * std::min(in_use, w.learned > 0 ? w.learned : in_use));
    if (previous == 0 && w.learned > 0) learned_used_ += std::max(in_use, 1.0);
    learned_total_ += w.learned - previous;
  }

  void On(const StreamStarted& e) {
    if (Request* r = Find(e.id)) r->streaming = true;
  }

  void On(const RequestAbandoned& e) {
    if (Request* r = Find(e.id)) Close(*r);
  }

  void On(const ProbeEnded& e) {
    auto it = index_.find(e.worker);
    if (it == index_.end()) return;
    RecordReport(workers_[it->second], e.report);
    if (e.ok) MarkResponsive(workers_[it->second]);
  }

  void On(const PeerReport& e) {
    auto it = index_.find(e.worker);
    if (it == index_.end()) return;
    Worker& w = workers_[it->second];
    if (e.failing != kNone) return few_reports_ ? AddFailures(e.failing, w.health.at(e.failing), 1) : void();
    w.peer_slots = e.slots, peer_report_at_ = now_;
  }

  void On(const ListChanged& e) {
    ApplyList(e);
    if (e.form != ListChanged::Form::kFailed) ServeQueue(4);
  }

  void On(const TimerFired& e) {
    if (e.token == "due") {
      if (now_ >= timer_at_) timer_at_ = 0;  // otherwise an older timer: the latest one is still pending
      ProcessDeadlines();
    } else if (e.token == "sweep") {
      Emit(SetTimer{kSweepInterval, "sweep"});
      ProcessDeadlines();
      EjectSilent();
      UpdateOverflowChance(), UpdateZoneSpill();
      SendProbes();
      ServeQueue(16);
      if (s_.list_on_request && !subscribed_ && now_ >= subscribe_at_) SubscribeToList();
    }
  }

  void ArmTimer() {
    while (!deadlines_.empty() && Find(deadlines_.top().second) == nullptr) deadlines_.pop();
    if (deadlines_.empty()) return;
    const Time next = std::max(deadlines_.top().first, now_ + 1);
    if (timer_at_ > now_ && timer_at_ <= next) return;  // a timer is already set, and each one set fires
    timer_at_ = next;
    Emit(SetTimer{timer_at_ - now_, "due"});
  }

  Time timer_at_ = 0;
  std::vector<Time> longest_wait_ = std::vector<Time>(s_.classes.size());  // by class, to the deadline
  std::uint64_t last_sequence_ = 0;
};

Scheduler::Scheduler(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::Start(Time now, std::vector<Action>* actions) {
  impl_->actions = actions;
  impl_->Start(now);
}

void Scheduler::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  impl_->actions = actions;
  impl_->Handle(now, event);
}

int Scheduler::AddClass(ClassSettings added) { return impl_->AddClass(std::move(added)); }
void Scheduler::SetInstances(int instances) { impl_->SetInstances(instances); }
TableSizes Scheduler::sizes() const { return impl_->sizes(); }

}  // namespace rookgw
