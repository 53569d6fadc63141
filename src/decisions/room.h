// Room: what a worker can still take.
#pragma once

#include "decisions/demand.h"

namespace rookgw::internal {

class Room : public Demand {
 protected:
  using Demand::Demand;

  // Free slots less waiting jobs, as far as known: the last report, fading to the fleet's mean as it ages,
  // less what this node has sent since it was made; without reports a learned total less own held slots.
  double Free(const Worker& w) const {
    const double total = Total(w);
    if (!FleetWide()) return total - w.held;
    if (Told(w)) return total * SlowStartShare(w) - w.held - w.elsewhere;
    double free = total * (1 - std::exp((heard_at_ - now_) / double{kRateMemory}) * (1 - mean_free_.value));
    if (w.report_at >= 0) {
      const double age = now_ - w.report_at;
      free += (w.usual_free - free) * std::exp(-age / kReportMemory);
      const bool full = w.full_at != 0 && now_ - w.full_at < MeanRun();  // reports made before cannot undo it
      if (full) free = std::min(free, w.min_free);
      if (!full) free += (w.free - w.usual_free) * std::exp(-(age + kReportLag) / (2 * MeanRun()));
    }
    for (const Move& m : w.moves)
      if (m.at > w.report_at - kReportLag) free -= m.slots;
    free = std::min(free, total - w.held);  // however old the report is, own jobs are there
    // A job of this node's that has not started tells at once how long the queue is, whatever reports say.
    if (s_.reports_starts && w.unstarted > 0 && !blind_)
      free = std::min(free, 1 - (now_ - w.silent_since) / MeanRun() * total);
    return free;
  }

  double Total(const Worker& w) const {
    if (w.slots > 0) return w.slots / s_.instances;  // this node's even part of what the worker says
    const Mean& whole = w.whole.weight > 2 ? w.whole : mean_whole_;
    if (Told(w) && whole.weight > 0) return std::max(1.0, whole.value);
    if (FleetWide()) return std::max({w.max_free, mean_total_.value, 1.0});
    if (w.learned > 0) return w.learned;
    const double others = learned_held_ > 0 ? learned_total_ / learned_held_ : 2;  // at the others' mean load
    return std::max(1.0, w.held * others);
  }

  bool InSlowStart(const Worker& w) const { return w.since > 0 && now_ - w.since < s_.ramp_time; }

  double SlowStartShare(const Worker& w) const {  // of its capacity, at the least
    const double age = InSlowStart(w) ? static_cast<double>(now_ - w.since) / s_.ramp_time : 1;
    return s_.cold_share + (1 - s_.cold_share) * std::clamp(age, 0.0, 1.0);
  }

  // Room counts the short queue that a job can stand in and still start within half its aim.
  double RoomOf(int index, const Request& r) const {
    const Worker& w = workers_[index];
    const double free = Free(w) + Total(w) * 0.5 * s_.classes[r.cls].aim / RunTime(r.cls);
    return std::max(free, (w.slots > 0 ? kMinReportedRoom : kMinRoom) * Total(w));
  }

  bool Usable(int index, const Request& r) const {
    const Worker& w = workers_[index];
    // The nodes' traffic is uneven: a node may go over its part until the worker says that it is full.
    if (w.slots > 0)
      return w.held + r.slots <= std::min(w.learned, w.slots) && now_ >= w.full_at + 2 * MeanRun() / w.slots;
    if (FleetWide() ? mean_total_.weight == 0 : w.learned == 0) return true;  // nothing is known against it
    const double behind = r.slots - Free(w);       // slots that have to come free first
    if (r.over_share && behind > 0) return false;  // a tenant's flood fills what is free, no queue
    const double wait = behind <= 0 ? 0 : behind / Total(w) * MeanRun() * Slowness(w);
    // A queue is counted on only as far as one was ever reported: some workers have none.
    if (FleetWide() && (!Told() || full_seen_) && Free(w) - r.slots < min_fill_ * Total(w) - 0.5)
      return false;
    return now_ + wait <= StartBy(w, r, kAimWork);
  }

  // The time by which an average job of its class has to start at this worker to end within its aim.
  double StartBy(const Worker& w, const Request& r, double own_work) const {
    return r.latest_start + (own_work * s_.classes[r.cls].stretch - Slowness(w)) * RunTime(r.cls);
  }

  // Has a free slot for it now. A job that leaves its set pays for a new copy; it should not queue as well.
  bool Idle(int index, const Request& r) const {
    const Worker& w = workers_[index];
    const bool set_aside = now_ < w.health[r.cls].ejected_until;  // few may hold what it needs: last choice
    return !set_aside && (Free(w) >= r.slots || (w.slots > 0 && w.held == 0)) && Usable(index, r);
  }

  bool Full(int index, const Request& r) const { return workers_[index].slots > 0 && !Usable(index, r); }

  void NoteMove(Worker& w, double slots) {
    w.held += slots;
    if (w.moves.size() >= 16)
      std::erase_if(w.moves, [this](const Move& m) { return m.at < now_ - kReportMemory; });
    w.moves.push_back({now_, slots});
  }

  void NoteReport(Worker& w, const LoadReport& report) {
    if (!report.free_slots) return;
    double waiting = report.waiting.value_or(0);
    // Where only the jobs held are told: what they are more than the slots in use must be waiting.
    if (!report.waiting && report.active && *report.free_slots < 1 && w.max_free > 0)
      waiting = std::max(0.0, *report.active - w.max_free);
    w.free = *report.free_slots - waiting;
    min_fill_ = std::min(min_fill_, w.free / std::max(1.0, w.max_free));
    const double keep =
        w.report_at < 0 ? 0 : std::exp(-static_cast<double>(now_ - w.report_at) / kReportMemory);
    w.usual_free = w.free + keep * (w.usual_free - w.free);
    // Free slots and jobs held make the whole only where some are free.
    const bool whole = report.active && *report.free_slots >= 1;
    w.max_free = std::max(w.max_free, *report.free_slots + (whole ? *report.active - waiting : 0));
    w.min_free = std::min(w.min_free, w.free);
    w.report_at = now_;
    std::erase_if(w.moves, [this](const Move& m) { return m.at <= now_ - kReportLag; });
    if (w.max_free > 0) mean_total_.Add(w.max_free, 60);
    if (whole) w.whole.Add(*report.free_slots + *report.active), mean_whole_.Add(w.whole.value);
    mean_free_.Add(std::max(-1.0, w.free / Total(w))), heard_at_ = now_;  // a deep queue is its worker's
    if (w.zone != kNone) zone_fill_[w.zone].Add(w.free / Total(w), 50);
  }

  // 'Full' is fresher news than any report and weighs as one that finds no room at all.
  void NoteFull(Worker& w) {
    w.min_free = std::min(w.min_free, w.free);
    w.usual_free += (w.min_free - w.usual_free) / 2;
    w.full_at = now_, full_seen_ = true;
  }

  // Own reports are too scarce to go by, and others tell what they hold: all that is out is known.
  bool Told() const { return scarce_ && now_ - told_at_ < kReportMemory; }
  bool Told(const Worker& w) const { return Told() && (!Zoned() || w.zone == s_.my_zone); }

  bool full_seen_ = false, scarce_ = false;
  bool blind_ = false;  // so many workers silent at once that this node's own view is at fault
  Mean mean_free_{1, 3}, mean_total_, mean_whole_;  // free: of slots; a few reports say little of a fleet
  std::vector<Mean> zone_fill_ = std::vector<Mean>(s_.zones.size());
  double min_fill_ = 0;  // the deepest queue ever reported, as (negative) free slots by slots
  double learned_total_ = 0, learned_held_ = 0;
};

}  // namespace rookgw::internal
