// One box: slots, a bounded queue, cores shared by what runs, a cold start, drains, call-offs, reports. It
// does no I/O and reads no clock: it is told the time with each call and says when it wants to be asked next.
//
// Guards against: work lost or done twice inside the model. Each job that was taken gets exactly one end.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "lab/base/random.h"
#include "lab/model/fair_share.h"
#include "lab/model/site.h"

namespace lichenlug::lab {

struct BoxJob {
  std::uint64_t id = 0;  // of the attempt
  double slots = 1;
  double work = 0;  // core time at speed 1, per slot
  std::uint64_t key = 0;
  int priority = 0;
  bool wants_key = false;
};

struct BoxNews {
  enum class Kind { kFetch, kStarted, kEnded, kFailed, kReturned, kBroken };
  Kind kind = Kind::kEnded;
  std::uint64_t id = 0;
  double left = 0;  // kBroken: work that was not done yet
};

class Box {
 public:
  enum class Life { kUp, kDraining, kDown, kSilent };  // kDown refuses connections, kSilent answers nothing

  Box(const Site& site, const KindModel& kind, int kind_index, int zone, int cell, double speed);

  // Starts a process: warm at once or from cold. Everything of an earlier one is gone.
  void Start(Time now, bool warm);
  void Drain(Time now, std::vector<BoxNews>* news);
  // Ends the process; what was held is told as broken where `tell`.
  void Stop(Time now, Life life, std::vector<BoxNews>* news);

  // False: full or draining; the job was not looked at.
  bool Offer(Time now, const BoxJob& job, std::vector<BoxNews>* news);
  void Fetched(Time now, std::uint64_t id, std::vector<BoxNews>* news);
  // True: the job is here no more. False: it goes on, or was not here.
  bool CallOff(Time now, std::uint64_t id, std::vector<BoxNews>* news);
  void Advance(Time now, std::vector<BoxNews>* news);
  Time NextAt() const { return std::min(running_.NextEnd(), next_ramp_); }
  bool Holds(std::uint64_t id) const { return held_.contains(id); }

  bool Probe(Time now);  // false: as many are going on as it takes
  void ProbeDone() { --probes_; }
  void Handshake(Time now) { running_.SetBack(now, Overhead(site_->net.handshake_work)); }
  rookgw::LoadReport Report(Time now, Random* noise);

  // The share of its warm capacity that it has now, and that capacity in cores of speed 1.
  double Warmth(Time now) const;
  double Capacity() const { return cores_ * speed_; }
  bool Cold(Time now) const { return Warmth(now) < 1; }
  double FreeSlots() const { return slots_ - used_; }
  double Slots() const { return slots_; }
  bool KeepsKey(std::uint64_t key) const { return std::ranges::find(kept_, key) != kept_.end(); }
  std::size_t Waiting() const { return queue_.size(); }
  // Truth for the oracle: core time at speed 1 that is held, and the pace that it is worked off at.
  double Backlog(Time now) const;
  double Pace(Time now) const { return Capacity() * Warmth(now) / slow_; }
  double UsedCores() const { return std::min<double>(used_running_, cores_); }

  // Faults
  void SetSlow(Time now, double factor);
  double fail_share = 0;
  bool lies = false, masks_load = false;

  Life life = Life::kUp;
  Time since = 0;           // last start; 0: long ago
  std::uint32_t epoch = 1;  // of the process
  int connections = 0;
  const int kind_index, zone, cell;

 private:
  struct Held {
    BoxJob job;
    enum class Stage { kQueued, kFetching, kRunning } stage = Stage::kQueued;
  };
  struct Snapshot {
    Time at = -1;
    double free = 0, active = 0, waiting = 0;
  };

  void Serve(Time now, std::vector<BoxNews>* news);
  void Begin(Time now, Held* held, std::vector<BoxNews>* news);
  void Run(Time now, Held* held);
  void Release(Held held, bool was_running);
  void SetPace(Time now);
  void Publish(Time now);
  bool Keeps(std::uint64_t key);
  void Keep(std::uint64_t key);
  double Overhead(Time work) const { return static_cast<double>(work) / cores_; }

  const Site* site_;
  const KindModel* kind_;
  double cores_, speed_, slots_, queue_most_;
  double slow_ = 1, used_ = 0, used_running_ = 0, work_done_ = 0;
  Time started_ = 0, next_ramp_ = kNever, last_work_ = 0;
  bool warm_from_start_ = true;
  FairShare running_;
  std::unordered_map<std::uint64_t, Held> held_;
  std::deque<std::uint64_t> queue_;
  std::vector<std::uint64_t> kept_;  // keys, the latest used last
  int probes_ = 0;
  Snapshot reports_[2];  // the last two refreshed
};

}  // namespace lichenlug::lab
