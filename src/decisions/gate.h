// Enforces the four rules: every dispatch and every end of a request passes here.
#pragma once

#include "decisions/health.h"

namespace rookgw::internal {

class DispatchGate : public Health {
 protected:
  using Health::Health;

  bool MaySend(const Request& r, int index) {
    Worker& w = workers_[index];
    if (r.ended || now_ >= r.valid_until - EndMargin()) return false;         // too late for an answer
    if (!w.listed || w.state != ListedWorker::State::kServing) return false;  // drain rule
    if (static_cast<int>(r.attempts.size()) >= s_.max_attempts) return false;
    if (InSlowStart(w) && !SlowStartAllows(w, r)) return false;  // slow-start rule
    if (OpenAttempts(r) >= (s_.second_copies ? 2 : 1)) return false;
    const Attempt* first = FirstThatMayHaveRun(r);
    if (first == nullptr) return true;
    const ClassSettings& cls = s_.classes[r.cls];
    if (cls.effect == Effect::kRepeatable) return true;
    if (cls.effect == Effect::kUnsafe) return false;
    if (now_ + s_.connect_timeout + 2 * s_.tick >= first->sent + cls.window) return false;  // may be late
    if (cls.scope == KeyScope::kZone) return w.zone != kNone && w.zone == first->zone;
    if (cls.scope == KeyScope::kCell) return w.cell != kNone && w.cell == first->cell;
    return true;
  }

  bool MayDecline(const Request& r) const {
    const ClassSettings& cls = s_.classes[r.cls];
    return FirstThatMayHaveRun(r) == nullptr || cls.effect == Effect::kRepeatable ||
           (cls.effect == Effect::kKeyed && cls.scope == KeyScope::kAll);
  }

  bool Send(Request& r, int index) {
    if (!MaySend(r, index)) return false;
    Worker& w = workers_[index];
    if (InSlowStart(w)) w.slow_start_work += SlowStartWork(w, r);
    r.attempts.push_back({index, w.cell, w.zone, now_});
    UseSlots(w, r.slots);
    if (w.unstarted++ == 0) w.silent_since = now_;
    ++w.health[r.cls].unaccepted;
    Dequeue(r);
    Emit(Dispatch{r.id, w.id, 0});
    if (s_.reports_accepts) deadlines_.push({now_ + kAcceptTimeout, r.id});
    if (CancelsLateStarts(r)) deadlines_.push({StartDeadline(r), r.id});
    return true;
  }

  void End(Request& r) {
    if (r.ended) return;
    if (MayDecline(r))
      Emit(Decline{r.id, RetryDelay()});
    else
      Emit(Fail{r.id});
    Close(r);
  }

  // Retry delay for a declined client: on average, the jobs that fill the slots now have ended by then.
  Time RetryDelay() const {
    return s_.retry_after ? std::min(static_cast<Time>(MeanRun()), s_.max_retry_after) : 0;
  }

  void Close(Request& r) {
    Dequeue(r);
    r.ended = true;
    if (s_.cancelling)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].run_state == RunState::kOpen) Emit(CancelAttempt{r.id, static_cast<int>(i)});
    EraseIfClosed(r);
  }

  // Keeps an ended request until its last attempt is closed, because the attempt still uses slots.
  void EraseIfClosed(const Request& r) {
    if (OpenAttempts(r) == 0) requests_.erase(r.id);
  }

  Time EndMargin() const { return 2 * s_.tick; }  // an end decided now takes effect a tick later

  void Dequeue(Request& r) {
    if (!r.waiting) return;
    r.waiting = false;
    waiting_.erase({r.rank, r.sequence, r.id});
  }

  // Whether to cancel a job that has not started in time to meet its aim, even if it runs longer than usual:
  // in overload, a queue of such jobs makes all jobs behind them late too.
  bool CancelsLateStarts(const Request& r) const {
    return s_.cancelling && s_.reports_starts && s_.classes[r.cls].late_value == 0;
  }

  Time StartDeadline(const Request& r) const {
    const double by = LatestStart(workers_[r.attempts.back().worker], r, kCancelRunShare);
    return static_cast<Time>(std::max<double>(by, r.latest_start)) + s_.tick;
  }

  bool MissedStart(const Request& r) const {
    if (!CancelsLateStarts(r) || r.attempts.empty()) return false;
    const Attempt& last = r.attempts.back();
    return now_ >= StartDeadline(r) && (last.run_state != RunState::kOpen || last.started == 0);
  }

  std::set<std::tuple<double, std::uint64_t, RequestId>> waiting_;  // highest worth first, then oldest
  std::priority_queue<std::pair<Time, RequestId>, std::vector<std::pair<Time, RequestId>>, std::greater<>>
      deadlines_;
};

}  // namespace rookgw::internal
