#include "rules_checker.h"

namespace rookgw::test {

void RulesChecker::AddViolation(const std::string& what, RequestId id) {
  violations_.push_back(what + " (request " + std::to_string(id) + ")");
}

bool RulesChecker::NeverRan(const Job& job) const {
  for (const Attempt& t : job.attempts)
    if (!t.never_ran) return false;
  return true;
}

void RulesChecker::OnEvent(int node, Time now, const Event& event) {
  if (const auto* e = std::get_if<RequestArrived>(&event)) {
    Job job;
    job.cls = e->cls;
    job.slots = e->slots;
    job.valid_until = e->valid_until;
    jobs_[{node, e->id}] = job;
  } else if (const auto* end = std::get_if<AttemptEnded>(&event)) {
    Job& job = jobs_.at({node, end->id});
    Attempt& t = job.attempts.at(end->attempt);
    t.open = false;
    t.never_ran = end->outcome == Outcome::kFull || end->outcome == Outcome::kConnectFailed ||
                  end->outcome == Outcome::kVoid;
    if (end->complete && job.ended_at < 0) job.ended_at = now;
  } else if (const auto* abandoned = std::get_if<RequestAbandoned>(&event)) {
    jobs_.at({node, abandoned->id}).abandoned = true;
  } else if (const auto* list = std::get_if<ListChanged>(&event)) {
    if (list->form == ListChanged::Form::kFailed) return;
    if (list->form != ListChanged::Form::kPatch)
      for (auto& [key, entry] : lists_)
        if (key.first == node && entry.serving) {
          bool named = false;
          for (const ListedWorker& w : list->workers) named |= w.id == key.second;
          if (!named) entry.serving = false, entry.stopped_at = now;
        }
    for (const ListedWorker& w : list->workers) {
      Entry& entry = lists_[{node, w.id}];
      const bool serving = w.state == ListedWorker::State::kServing;
      if (entry.serving && !serving) entry.stopped_at = now;
      entry.serving = serving;
      entry.since = w.since;
      entry.cell = w.cell;
      entry.zone = w.zone;
      started_[w.id] = w.since;
    }
  }
}

void RulesChecker::OnAction(int node, Time now, const Action& action) {
  auto end = [&](RequestId id, bool refused) {
    auto it = jobs_.find({node, id});
    if (it == jobs_.end()) return AddViolation("unknown request ended", id);
    Job& job = it->second;
    if (job.abandoned) return;
    if (job.ended_at >= 0) return AddViolation("lost: ended twice", id);
    if (now > job.valid_until + slack_) AddViolation("lost: answered too late", id);
    job.ended_at = now;
    const ClassSettings& cls = s_.classes[job.cls];
    const bool may_repeat =
        cls.effect == Effect::kRepeatable || (cls.effect == Effect::kKeyed && cls.scope == KeyScope::kAll);
    if (refused && !may_repeat && !NeverRan(job))
      AddViolation("effect: declined a request that may have run", id);
  };
  if (const auto* d = std::get_if<Decline>(&action)) return end(d->id, true);
  if (const auto* f = std::get_if<Fail>(&action)) return end(f->id, false);
  const auto* d = std::get_if<Dispatch>(&action);
  if (d == nullptr) return;
  auto it = jobs_.find({node, d->id});
  if (it == jobs_.end()) return AddViolation("unknown request sent", d->id);
  Job& job = it->second;
  if (job.ended_at >= 0 || job.abandoned) AddViolation("lost: sent after its end", d->id);
  const auto listed = lists_.find({node, d->worker});
  if (listed == lists_.end()) return AddViolation("drain: sent to a worker that was never listed", d->id);
  const Entry& entry = listed->second;
  if (!entry.serving && now > entry.stopped_at + s_.drain_grace)
    AddViolation("drain: sent to a worker that stopped serving", d->id);
  int open = 0;
  const Attempt* first = nullptr;
  for (const Attempt& t : job.attempts) {
    open += t.open;
    if (first == nullptr && !t.never_ran) first = &t;
  }
  if (open > (s_.second_copies ? 1 : 0)) AddViolation("effect: too many attempts at once", d->id);
  const ClassSettings& cls = s_.classes[job.cls];
  if (first != nullptr && cls.effect == Effect::kUnsafe)
    AddViolation("effect: unsafe request sent again", d->id);
  if (first != nullptr && cls.effect == Effect::kKeyed) {
    const Entry& was = lists_.at({node, first->worker});
    if (now > first->at + cls.window) AddViolation("effect: keyed request sent after its window", d->id);
    if (cls.scope == KeyScope::kCell && (entry.cell == kNone || entry.cell != was.cell))
      AddViolation("effect: keyed request left its cell", d->id);
    if (cls.scope == KeyScope::kZone && (entry.zone == kNone || entry.zone != was.zone))
      AddViolation("effect: keyed request left its zone", d->id);
  }
  job.attempts.push_back({d->worker, now});

  // Slow start: the work sent to a cold worker by all nodes, in the window that ends now.
  const Time since = started_[d->worker];
  if (since == 0 || now - since >= s_.ramp_time) return;
  auto& sent = sent_[d->worker];
  sent.push_back({now, job.slots});
  double work = 0;
  for (const auto& [at, slots] : sent)
    if (at > now - s_.overload_for && at >= since) work += slots * run_seconds;
  const double age = static_cast<double>(now - since) / static_cast<double>(s_.ramp_time);
  const double share = s_.cold_share + (1 - s_.cold_share) * age;
  const double span = static_cast<double>(s_.overload_for) / 1e6;
  if (work > s_.overload_factor * capacity_ * share * span + run_seconds * job.slots)
    AddViolation("cold: " + d->worker + " overloaded during slow start", d->id);
}

void RulesChecker::Finish(Time now) {
  for (const auto& [key, job] : jobs_)
    if (job.ended_at < 0 && !job.abandoned && now > job.valid_until + slack_)
      AddViolation("lost: never ended", key.second);
}

}  // namespace rookgw::test
