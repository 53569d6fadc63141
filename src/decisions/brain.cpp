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

class Scheduler::Impl : public Placing {
 public:
  Impl(Settings settings, std::uint64_t seed) : Placing(Checked(std::move(settings)), seed) {}

  void Start(Time now) {
    now_ = started_at_ = now;
    for (std::size_t t = 0; t < quota_.size(); ++t) quota_[t] = {now, QuotaBurst(static_cast<int>(t))};
    if (s_.list_on_request) AskForList();
    Act(SetTimer{kSweepInterval, "sweep"});
  }

  void Handle(Time now, const Event& event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& e) { On(e); }, event);
    ArmTimer();
  }

  int AddClass(ClassSettings added) {
    Settings more = s_;
    more.classes.push_back(std::move(added)), s_ = Checked(std::move(more));
    run_.emplace_back(), longest_wait_.emplace_back();
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
    r.turn = ++turns_;
    due_.push({r.valid_until - EndMargin(), r.id});
    arrivals_.Add(now_);
    const double demand = CountArrival(r);
    if (!Place(r, demand)) Wait(r);
  }

  void On(const AttemptUpdate& e) {
    Request* r = Find(e.id);
    if (r == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (a.fate != Fate::kOut) return;
    Worker& w = workers_[a.worker];
    if (std::exchange(a.untaken, false)) --w.health[r->cls].untaken;
    if (e.kind == AttemptUpdate::Kind::kStarted && a.started == 0) {
      a.started = now_;
      --w.unstarted;
    }
    SignOfLife(w);
  }

  void On(const AttemptEnded& e) {
    Request* r = Find(e.id);
    auto named = index_.find(e.worker);
    if (named != index_.end() && e.outcome != Outcome::kVoid) {
      NoteReport(workers_[named->second], e.report);
      if (e.outcome == Outcome::kFull) NoteFull(workers_[named->second]);
    }
    if (r == nullptr || e.attempt < 0 || e.attempt >= static_cast<int>(r->attempts.size())) return;
    Attempt& a = r->attempts[e.attempt];
    if (a.fate != Fate::kOut) return;
    Worker& w = workers_[a.worker];
    NoteMove(w, -r->slots);
    if (a.started == 0) --w.unstarted;
    if (std::exchange(a.untaken, false)) --w.health[r->cls].untaken;
    const bool never_ran =
        e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kVoid;
    a.fate = never_ran ? Fate::kNeverRan : Fate::kMayHaveRun;
    Learn(*r, a, w, e.outcome);
    if (e.complete && !r->ended) r->ended = true, StopWaiting(*r);
    if (r->ended || e.outcome == Outcome::kServed)
      Forget(*r);
    else
      TryAgain(*r);
    ServeWaiting(4);
  }

  void Learn(const Request& r, const Attempt& a, Worker& w, Outcome outcome) {
    if (outcome == Outcome::kServed) {
      const double took = now_ - (a.started != 0 ? a.started : a.sent), slowness = took / RunTime(r.cls);
      slowness_.Add(slowness);
      if (w.kind != kNone) kind_slowness_[w.kind].Add(slowness);
      run_[r.cls].Add(took), run_all_.Add(took);
      CountFailures(r.cls, w.health[r.cls], -1);
    }
    if (outcome == Outcome::kError) CountFailures(r.cls, w.health[r.cls], s_.failures_per_error);
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kTimeout)
      Eject(w);
    else if (outcome != Outcome::kCancelled && outcome != Outcome::kVoid)
      SignOfLife(w);
    if (FleetWide()) return;
    const double had = w.held + r.slots, was = w.learned;
    if (outcome == Outcome::kServed) w.learned = std::max(w.learned, had) + r.slots / std::max(had, 1.0);
    if (outcome == Outcome::kFull || outcome == Outcome::kTimeout)
      w.learned = std::max(1.0, 0.8 * std::min(had, w.learned > 0 ? w.learned : had));
    if (was == 0 && w.learned > 0) learned_held_ += std::max(had, 1.0);
    learned_total_ += w.learned - was;
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
    NoteReport(workers_[it->second], e.report);
    if (e.ok) SignOfLife(workers_[it->second]);
  }

  void On(const PeerReport& e) {
    auto it = index_.find(e.worker);
    if (it == index_.end()) return;
    Worker& w = workers_[it->second];
    if (e.failing != kNone) return scarce_ ? CountFailures(e.failing, w.health.at(e.failing), 1) : void();
    w.elsewhere = e.slots, told_at_ = now_;
  }

  void On(const ListChanged& e) {
    TakeList(e);
    if (e.form != ListChanged::Form::kFailed) ServeWaiting(4);
  }

  void On(const TimerFired& e) {
    if (e.token == "due") {
      if (now_ >= armed_) armed_ = 0;  // otherwise an older timer: the last one armed is pending
      EndDue();
    } else if (e.token == "sweep") {
      Act(SetTimer{kSweepInterval, "sweep"});
      EndDue();
      FindSilent();
      CountFree(), BalanceZones();
      SendProbes();
      ServeWaiting(16);
      if (s_.list_on_request && !subscribed_ && now_ >= ask_at_) AskForList();
    }
  }

  void ArmTimer() {
    while (!due_.empty() && Find(due_.top().second) == nullptr) due_.pop();
    if (due_.empty()) return;
    const Time next = std::max(due_.top().first, now_ + 1);
    if (armed_ > now_ && armed_ <= next) return;  // a timer is already set, and each one set fires
    armed_ = next;
    Act(SetTimer{armed_ - now_, "due"});
  }

  Time armed_ = 0;
  std::vector<Time> longest_wait_ = std::vector<Time>(s_.classes.size());  // by class, to the deadline
  std::uint64_t turns_ = 0;
};

Scheduler::Scheduler(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::Start(Time now, std::vector<Action>* actions) {
  impl_->out = actions;
  impl_->Start(now);
}

void Scheduler::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  impl_->out = actions;
  impl_->Handle(now, event);
}

int Scheduler::AddClass(ClassSettings added) { return impl_->AddClass(std::move(added)); }
void Scheduler::SetInstances(int instances) { impl_->SetInstances(instances); }
TableSizes Scheduler::sizes() const { return impl_->sizes(); }

}  // namespace rookgw
