// Health of workers: silent, in doubt for a class, cold; and the probes that ask.
#pragma once

#include "decisions/room.h"

namespace rookgw::internal {

class Health : public Room {
 protected:
  using Room::Room;

  bool Ejected(const Worker& w) const { return now_ < w.ejected_until; }

  void SignOfLife(Worker& w) {
    w.strikes = 0, w.ejected_until = 0;
    w.silent_since = w.unstarted > 0 ? now_ : 0;
  }

  void Strike(Worker& w) {
    w.strikes = std::min(w.strikes + 1, 5);
    w.ejected_until = now_ + (kSecond / 4 << w.strikes);
    w.silent_since = w.unstarted > 0 ? now_ : 0;
  }

  // Some workers leave all jobs of one class without a word; some fail most at once, look idle for it and
  // draw ever more. One in doubt rests in that class, then gets one job at a time. Some have to go on.
  void Doubt(int cls, Trust& trust, int more) {
    trust.doubt = std::clamp(trust.doubt + more, 0, 6);
    if (more <= 0 || trust.doubt < 3) return;  // what follows looks over the whole fleet
    auto rests = [&](int i) { return now_ < workers_[i].trust[cls].rests_until; };
    if (3 * std::ranges::count_if(listed_, rests) < 2 * std::ssize(listed_))
      trust.rests_until = now_ + (kSecond / 8 << std::min(trust.doubt, 5));
  }

  // A worker that holds jobs unstarted for as long as a whole answer may take has most likely hung.
  void FindSilent() {
    if (!s_.starts_told) return;
    Time patience = 0;
    for (std::size_t c = 0; c < s_.classes.size(); ++c)
      patience = std::max<Time>(patience, s_.classes[c].aim + s_.classes[c].stretch * RunTime(c));
    auto silent = [&](const Worker& w) { return w.unstarted > 0 && now_ - w.silent_since >= patience; };
    auto away = [&](int i) { return silent(workers_[i]) || Ejected(workers_[i]); };
    blind_ = 2 * std::ranges::count_if(listed_, away) > std::ssize(listed_);  // it is this node's fault
    for (int i : listed_)
      if (!blind_ && silent(workers_[i]) && !Ejected(workers_[i])) Strike(workers_[i]);
  }

  // Slot microseconds, never less than a mean job has; before runs are known the longest one counts as mean.
  double ColdWork(const Worker& w, const Request& r) const {
    const double longest = run_all_.weight < 20 ? s_.classes[r.cls].deadline : 0;
    return std::max({longest, MeanRun(), r.slots * RunTime(r.cls)}) * Slowness(w);
  }

  // Nodes send to a cold worker by turns that all know alike, heard or not. From its start, spans are as long
  // as the rule's window, which touches two: each has half the budget, in equal parts; parts under a job go
  // whole to the nodes next on a circle. A new life waits for the next span: the last may have used its turn.
  bool ColdMayTake(Worker& w, const Request& r) {
    const Time length = std::max<Time>(s_.overload_for, 1), span = std::max<Time>(now_ - w.since, 0) / length;
    if (w.since + span * length < started_at_ || (Told(w) && Free(w) < r.slots)) return false;
    if (std::exchange(w.span, span) != span) w.span_work = 0;
    const double slots = 0.8 * std::max(1.0, FleetWide() ? mean_total_.value : 1);
    const double part = 0.5 * s_.overload_factor * ColdShare(w) * slots * length / s_.instances;
    const double turn = 1.0 * s_.ordinal / s_.instances + span * std::numbers::phi + w.hash * 0x1p-64;
    return w.span_work + (turn - std::floor(turn)) * ColdWork(w, r) < part;
  }

  // Round the ring, one to three probes a request: the fee is then the fee for as many a request.
  void SendProbes() {
    if (!s_.probes || s_.reports == Settings::Reports::kNever || ring_.empty()) return;
    // The more nodes act on the same news, the more they crowd the same workers: many ask less each.
    const double a_job = std::clamp(kProbers / s_.instances, 1.0, kMostProbes);
    scarce_ = a_job * arrivals_.Rate(now_) * kReportMemory < listed_.size();
    probe_credit_ = std::min(probe_credit_ + arrivals_.Rate(now_) * kSweepEvery * a_job, 20 * a_job);
    for (std::size_t looked = 0; probe_credit_ >= 1 && looked < listed_.size(); ++looked) {
      Worker& w = workers_[listed_[probe_next_++ % listed_.size()]];
      const bool far = Zoned() && w.zone != s_.my_zone && probe_next_ / listed_.size() % 4 != 0;
      if (far || w.state != ListedWorker::State::kServing ||
          now_ - std::max(w.report_at, w.probed_at) < kReportLag)
        continue;
      w.probed_at = now_;
      probe_credit_ -= 1;
      Act(Probe{w.id});
    }
  }

  double probe_credit_ = 0;
  std::size_t probe_next_ = random_();
};

}  // namespace rookgw::internal
