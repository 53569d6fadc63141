// Estimates of the capacity that each worker has left.
#pragma once

#include "decisions/demand.h"

namespace rookgw::internal {

class Capacity : public Demand {
 protected:
  using Demand::Demand;

  // Estimated free slots minus waiting jobs: the last report, decaying to the fleet's mean as it ages, minus
  // what this node has dispatched since; without reports, a learned total minus the slots this node uses.
  double FreeSlots(const Worker& w) const {
    const double total = TotalSlots(w);
    if (!HasSlotReports()) return total - w.used;
    if (PeersKnown(w)) return total * SlowStartShare(w) - w.used - w.peer_slots;
    double free = total * (1 - std::exp((report_at_ - now_) / double{kRateDecay}) * (1 - mean_free_.value));
    if (w.report_at >= 0) {
      const double age = now_ - w.report_at;
      free += (w.mean_free - free) * std::exp(-age / kReportDecay);
      const bool full = w.full_at != 0 && now_ - w.full_at < MeanRun();  // older reports do not override it
      if (full) free = std::min(free, w.min_free);
      if (!full) free += (w.free - w.mean_free) * std::exp(-(age + kReportLag) / (2 * MeanRun()));
    }
    for (const SlotChange& m : w.changes)
      if (m.at > w.report_at - kReportLag) free -= m.slots;
    free = std::min(free, total - w.used);  // own jobs occupy slots even if the report is old
    // An unstarted job of this node shows the length of the queue sooner than a report does.
    if (s_.reports_starts && w.unstarted > 0 && !local_fault_)
      free = std::min(free, 1 - (now_ - w.silent_since) / MeanRun() * total);
    return free;
  }

  double TotalSlots(const Worker& w) const {
    if (w.slots > 0) return w.slots / s_.instances;  // this node's equal share of the reported slots
    const Mean& slots = w.total.weight > 2 ? w.total : mean_slots_;
    if (PeersKnown(w) && slots.weight > 0) return std::max(1.0, slots.value);
    if (HasSlotReports()) return std::max({w.max_free, mean_max_free_.value, 1.0});
    if (w.learned > 0) return w.learned;
    const double others = learned_used_ > 0 ? learned_total_ / learned_used_ : 2;  // slots per used slot
    return std::max(1.0, w.used * others);
  }

  bool InSlowStart(const Worker& w) const { return w.since > 0 && now_ - w.since < s_.ramp_time; }

  double SlowStartShare(const Worker& w) const {  // lower bound of the share of its capacity that is usable
    const double age = InSlowStart(w) ? static_cast<double>(now_ - w.since) / s_.ramp_time : 1;
    return s_.cold_share + (1 - s_.cold_share) * std::clamp(age, 0.0, 1.0);
  }

  // Includes a short queue, in which a job would still start within half its aim.
  double UsableCapacity(int index, const Request& r) const {
    const Worker& w = workers_[index];
    const double free = FreeSlots(w) + TotalSlots(w) * 0.5 * s_.classes[r.cls].aim / RunTime(r.cls);
    return std::max(free, (w.slots > 0 ? kMinReportedCapacity : kMinCapacity) * TotalSlots(w));
  }

  bool CanTake(int index, const Request& r) const {
    const Worker& w = workers_[index];
    // Traffic is uneven between nodes: a node may exceed its share until the worker responds that it is full.
    if (w.slots > 0)
      return w.used + r.slots <= std::min(w.learned, w.slots) && now_ >= w.full_at + 2 * MeanRun() / w.slots;
    if (HasSlotReports() ? mean_max_free_.weight == 0 : w.learned == 0) return true;  // nothing known yet
    const double missing = r.slots - FreeSlots(w);  // slots that must become free first
    if (r.over_share && missing > 0) return false;  // over-share requests use free slots but do not queue
    const double wait = missing <= 0 ? 0 : missing / TotalSlots(w) * MeanRun() * Slowness(w);
    // Assumes a queue only as deep as one ever reported: some workers do not queue.
    if (HasSlotReports() && (!PeersKnown() || full_seen_) &&
        FreeSlots(w) - r.slots < min_free_ * TotalSlots(w) - 0.5)
      return false;
    return now_ + wait <= LatestStart(w, r, kAimRunShare);
  }

  // Latest time at which an average job of the class can start at this worker and end within its aim.
  double LatestStart(const Worker& w, const Request& r, double own_work) const {
    return r.latest_start + (own_work * s_.classes[r.cls].stretch - Slowness(w)) * RunTime(r.cls);
  }

  // Has a free slot now. A job that leaves its set pays for a new cached copy; it should not queue as well.
  bool IsIdle(int index, const Request& r) const {
    const Worker& w = workers_[index];
    const bool ejected = now_ < w.health[r.cls].ejected_until;  // last resort: few may hold what it needs
    return !ejected && (FreeSlots(w) >= r.slots || (w.slots > 0 && w.used == 0)) && CanTake(index, r);
  }

  bool IsFull(int index, const Request& r) const { return workers_[index].slots > 0 && !CanTake(index, r); }

  void UseSlots(Worker& w, double slots) {
    w.used += slots;
    if (w.changes.size() >= 16)
      std::erase_if(w.changes, [this](const SlotChange& m) { return m.at < now_ - kReportDecay; });
    w.changes.push_back({now_, slots});
  }

  void RecordReport(Worker& w, const LoadReport& report) {
    if (!report.free_slots) return;
    double waiting = report.waiting.value_or(0);
    // If only active jobs are reported, those beyond the slots must be waiting.
    if (!report.waiting && report.active && *report.free_slots < 1 && w.max_free > 0)
      waiting = std::max(0.0, *report.active - w.max_free);
    w.free = *report.free_slots - waiting;
    min_free_ = std::min(min_free_, w.free / std::max(1.0, w.max_free));
    const double keep =
        w.report_at < 0 ? 0 : std::exp(-static_cast<double>(now_ - w.report_at) / kReportDecay);
    w.mean_free = w.free + keep * (w.mean_free - w.free);
    // Free slots and active jobs add up to the total only if a slot is free.
    const bool has_total = report.active && *report.free_slots >= 1;
    w.max_free = std::max(w.max_free, *report.free_slots + (has_total ? *report.active - waiting : 0));
    w.min_free = std::min(w.min_free, w.free);
    w.report_at = now_;
    std::erase_if(w.changes, [this](const SlotChange& m) { return m.at <= now_ - kReportLag; });
    if (w.max_free > 0) mean_max_free_.Add(w.max_free, 60);
    if (has_total) w.total.Add(*report.free_slots + *report.active), mean_slots_.Add(w.total.value);
    mean_free_.Add(std::max(-1.0, w.free / TotalSlots(w))), report_at_ = now_;  // bounds deep queues
    if (w.zone != kNone) zone_free_[w.zone].Add(w.free / TotalSlots(w), 50);
  }

  // A rejection as full is newer than any report and counts as a report of the fewest free slots seen.
  void RecordFull(Worker& w) {
    w.min_free = std::min(w.min_free, w.free);
    w.mean_free += (w.min_free - w.mean_free) / 2;
    w.full_at = now_, full_seen_ = true;
  }

  // Own reports are too rare, but the other nodes report their slots in use, so the total is known.
  bool PeersKnown() const { return few_reports_ && now_ - peer_report_at_ < kReportDecay; }
  bool PeersKnown(const Worker& w) const { return PeersKnown() && (!Zonal() || w.zone == s_.my_zone); }

  bool full_seen_ = false, few_reports_ = false;
  bool local_fault_ = false;  // so many workers are silent at once that the fault is likely on this node
  Mean mean_free_{1, 3}, mean_max_free_, mean_slots_;  // mean_free_: share of slots; has an initial weight
  std::vector<Mean> zone_free_ = std::vector<Mean>(s_.zones.size());
  double min_free_ = 0;  // the deepest queue ever reported, as (negative) free slots / slots
  double learned_total_ = 0, learned_used_ = 0;
};

}  // namespace rookgw::internal
