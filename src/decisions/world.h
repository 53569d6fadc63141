// Base layer of the decisions: constants and the state of workers, requests and keys. Each layer depends only
// on the ones before it: world, ring, demand, room, health, gate, placing, brain.cpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <queue>
#include <random>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "base/estimators.h"
#include "base/hash.h"
#include "base/token_bucket.h"
#include "rookgw/brain.h"

namespace rookgw::internal {

using lichenlug::HashText, lichenlug::Mix, lichenlug::RateMeter;
using Mean = lichenlug::RunningMean;

inline constexpr Time kMs = 1000, kSecond = 1000 * kMs;
inline constexpr Time kShrinkInterval = kSecond;  // minimum time between reductions of a worker set
inline constexpr Time kRateDecay = 5 * kSecond;   // time constant of rate averages
inline constexpr Time kReportDecay = 1500 * kMs;  // time constant of decay to the fleet's mean
inline constexpr Time kReportLag = 500 * kMs;     // a report may lack dispatches up to this long before it
inline constexpr Time kUnlistedRetention = 30 * kSecond;  // attempts may end after their worker was unlisted
inline constexpr Time kAcceptTimeout = 240 * kMs;         // healthy workers accept a job within 160 ms
inline constexpr std::size_t kMaxKeys = 20000;            // keys tracked; the oldest are evicted first
inline constexpr double kRingPoints = 16;  // ring points of a worker of mean size; evens out the arcs
inline constexpr double kMaxRingPoints = 64;
inline constexpr std::size_t kMaxRanked = 8;  // set members compared; wider sets are sampled
inline constexpr double kMinCapacity = 0.5, kMinReportedCapacity = 0.2;  // slot share; keeps sets narrow
inline constexpr double kAimRunShare = 0.6;     // share of a run that extends the aim: low estimate, to place
inline constexpr double kCancelRunShare = 0.8;  // the same: high estimate, to cancel
inline constexpr double kZoneMargin = 0.1;      // below this free share, keys move to zones freer by as much
inline constexpr std::size_t kMaxOverflow = 2;  // workers examined past a set in which none can start the job
inline constexpr double kMaxProbes = 3, kTierProbes = 12;  // probes per job: maximum; sum over the tier
inline constexpr std::size_t kMaxRingSteps = 256;          // maximum ring steps per decision; bounds its cost
inline constexpr Time kSweepInterval = 50 * kMs;

struct SlotChange {  // an own dispatch (+slots) or end (-slots) that a report may not include yet
  Time at;
  double slots;
};

struct ClassHealth {  // a worker's health for jobs of one class
  int unaccepted = 0, failures = 0;
  Time ejected_until = 0;
};

struct Worker {
  std::string id;
  std::uint64_t hash = 0, last_walk = 0;  // last_walk: the last ring walk that visited it
  ListedWorker::State state = ListedWorker::State::kServing;
  bool listed = false;
  Time since = 0;
  int cell = kNone, kind = kNone, zone = kNone;
  double weight = 1, slots = 0;
  std::vector<std::uint64_t> holds;
  int points = 0;
  // Capacity; `used`: slots used by this node, `peer_slots`: by the others
  Time report_at = -1, full_at = 0;
  double free = 0, mean_free = 0, max_free = 0, min_free = -1, learned = 0, used = 0, peer_slots = 0;
  Mean total;  // total slots, free and in use
  std::vector<SlotChange> changes;
  // Health
  int unstarted = 0, ejections = 0;
  Time silent_since = 0, ejected_until = 0, probed_at = 0;
  std::vector<ClassHealth> health;  // by class
  // Slow start
  Time span = -1, unlisted_at = 0;  // the slow-start window last examined
  double slow_start_work = 0;       // work dispatched in it
};

enum class RunState : std::uint8_t { kOpen, kNeverRan, kMayHaveRun };

struct Attempt {
  int worker, cell, zone;
  Time sent, started = 0;
  RunState run_state = RunState::kOpen;
  bool unaccepted = true, overdue = false;  // acceptance pending / overdue
};

struct Request {
  RequestId id = 0;
  std::uint64_t hash = 0, needs = 0;
  double slots = 1;
  Time valid_until = 0, latest_start = 0;
  int cls = 0, tenant = kNone;
  bool over_share = false, ended = false, waiting = false, streaming = false;
  std::uint64_t sequence = 0;
  double rank = 0;      // position in the waiting queue
  Time placed_at = -1;  // time of the last placement attempt
  std::vector<Attempt> attempts;
};

struct Key {
  double count = 0;  // decayed number of arrivals
  Time seen = 0, shrunk = 0;
  std::size_t width = 1, windows = 1;  // windows: ring walks needed to cover its whole set
};
class DecisionState {
 public:
  DecisionState(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {}

  std::vector<Action>* actions = nullptr;

 protected:
  Request* Find(RequestId id) {
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }

  template <typename A>
  void Emit(A action) {
    actions->emplace_back(std::move(action));
  }

  static std::ptrdiff_t OpenAttempts(const Request& r) {
    return std::ranges::count(r.attempts, RunState::kOpen, &Attempt::run_state);
  }

  static const Attempt* FirstThatMayHaveRun(const Request& r) {
    for (const Attempt& a : r.attempts)
      if (a.run_state != RunState::kNeverRan) return &a;
    return nullptr;
  }

  bool HasSlotReports() const { return s_.reports != Settings::Reports::kNever && s_.reports_slots; }

  Settings s_;
  std::mt19937_64 random_;
  Time now_ = 0, started_at_ = 0, report_at_ = 0, peer_report_at_ = 0;
  std::vector<Worker> workers_;                      // indexed by `index_`
  std::unordered_map<std::string, int> index_;       // never iterated: its order is unspecified
  std::vector<int> listed_;                          // indices of the listed workers, sorted by id
  std::unordered_map<RequestId, Request> requests_;  // never iterated
};

}  // namespace rookgw::internal
