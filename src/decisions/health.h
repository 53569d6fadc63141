// Worker health: outlier ejection (for all jobs or one class), slow start and probes.
#pragma once

#include "decisions/room.h"

namespace rookgw::internal {

class Health : public Capacity {
 protected:
  using Capacity::Capacity;

  bool IsEjected(const Worker& w) const {  // with `silence` set, while it stays silent
    const bool silent = s_.silence > 0 && w.unstarted > 0 && now_ - w.silent_since >= s_.silence;
    return now_ < w.ejected_until || (silent && !local_fault_);
  }

  void MarkResponsive(Worker& w) {
    w.ejections = 0, w.ejected_until = 0;
    w.silent_since = w.unstarted > 0 ? now_ : 0;
  }

  void Eject(Worker& w) {
    w.ejections = std::min(w.ejections + 1, 5);
    w.ejected_until = now_ + (kSecond / 4 << w.ejections);
    if (s_.silence == 0 || w.unstarted == 0) w.silent_since = w.unstarted > 0 ? now_ : 0;
  }

  // Some workers never respond to jobs of one class; others fail most at once, look idle and so attract more.
  // Such a worker is ejected for the class (at most 2/3 of them), then gets one job at a time.
  void AddFailures(int cls, ClassHealth& health, int count) {
    health.failures = std::clamp(health.failures + count, 0, 6);
    if (count <= 0 || health.failures < 3) return;  // the rest iterates over the fleet
    auto ejected = [&](int i) { return now_ < workers_[i].health[cls].ejected_until; };
    if (3 * std::ranges::count_if(listed_, ejected) < 2 * std::ssize(listed_))
      health.ejected_until = now_ + (kSecond / 8 << std::min(health.failures, 5));
  }

  // A worker with jobs still unstarted after the time allowed for a full answer has most likely hung.
  void EjectSilent() {
    if (!s_.reports_starts) return;
    Time timeout = s_.silence;
    for (std::size_t c = 0; s_.silence == 0 && c < s_.classes.size(); ++c)
      timeout = std::max<Time>(timeout, s_.classes[c].aim + s_.classes[c].stretch * RunTime(c));
    auto silent = [&](const Worker& w) { return w.unstarted > 0 && now_ - w.silent_since >= timeout; };
    auto unusable = [&](int i) { return silent(workers_[i]) || IsEjected(workers_[i]); };
    local_fault_ = 2 * std::ranges::count_if(listed_, unusable) > std::ssize(listed_);
    for (int i : listed_)
      if (!local_fault_ && silent(workers_[i]) && !IsEjected(workers_[i])) Eject(workers_[i]);
  }

  // In slot microseconds, at least a mean job's; until run times are known, the class deadline is used.
  double SlowStartWork(const Worker& w, const Request& r) const {
    const double fallback = all_run_times_.weight < 20 ? s_.classes[r.cls].deadline : 0;
    return std::max({fallback, MeanRun(), r.slots * RunTime(r.cls)}) * Slowness(w);
  }

  // Nodes share a cold worker's budget by a schedule that each computes alone. From its start, spans are as
  // long as the rule's window, which overlaps two: each has half the budget, split equally. Shares below one
  // job go whole to the next nodes on a circle. A restarted node skips a span: its share may be spent.
  bool SlowStartAllows(Worker& w, const Request& r) {
    const Time length = std::max<Time>(s_.overload_for, 1), span = std::max<Time>(now_ - w.since, 0) / length;
    if (w.since + span * length < started_at_ || (PeersKnown(w) && FreeSlots(w) < r.slots)) return false;
    if (std::exchange(w.span, span) != span) w.slow_start_work = 0;
    const double slots = 0.8 * std::max(1.0, HasSlotReports() ? mean_max_free_.value : 1);
    const double share = 0.5 * s_.overload_factor * SlowStartShare(w) * slots * length / s_.instances;
    const double offset = 1.0 * s_.ordinal / s_.instances + span * std::numbers::phi + w.hash * 0x1p-64;
    return w.slow_start_work + (offset - std::floor(offset)) * SlowStartWork(w, r) < share;
  }

  // Probes workers in turn, one to three per request, which bounds the probe fee per request.
  void SendProbes() {
    if (!s_.probes || s_.reports == Settings::Reports::kNever || ring_.empty()) return;
    // Many nodes that act on the same reports crowd the same workers, so each probes less in larger tiers.
    const double per_job = std::clamp(kTierProbes / s_.instances, 1.0, kMaxProbes);
    few_reports_ = per_job * arrivals_.Rate(now_) * kReportDecay < listed_.size();
    probe_credit_ = std::min(probe_credit_ + arrivals_.Rate(now_) * kSweepInterval * per_job, 20 * per_job);
    for (std::size_t examined = 0; probe_credit_ >= 1 && examined < listed_.size(); ++examined) {
      Worker& w = workers_[listed_[next_probe_++ % listed_.size()]];
      const bool skip = Zonal() && w.zone != s_.my_zone && next_probe_ / listed_.size() % 4 != 0;
      if (skip || w.state != ListedWorker::State::kServing ||
          now_ - std::max(w.report_at, w.probed_at) < kReportLag)
        continue;
      w.probed_at = now_;
      probe_credit_ -= 1;
      Emit(Probe{w.id});
    }
  }

  double probe_credit_ = 0;
  std::size_t next_probe_ = random_();
};

}  // namespace rookgw::internal
