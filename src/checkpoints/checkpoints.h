// Computes checkpoint intervals for long jobs; hosted by a dispatcher. Does no I/O and reads no clock.
//
// Usage: call `Seen` for each report or list of a runner, and `Draining` and `Lost` when the host learns of
// them; `Begin` with an attempt, whose plan is sent to the runner; `Noted` with its progress notes; `End`
// when it is over. `Retold`, called each second, returns the plans that have changed. The PeerProtocol
// methods exchange state with other dispatchers: deaths are broadcast, lives are sent in turn to one peer a
// second (under 300 bytes a second at any size).
//
// Only valid for jobs that may be repeated and whose runner keeps checkpoints; this class can't check that.
// All bounds: Facts; kMaxJobs jobs; a tenant's share in deal.h; the tier's limit in lending.h.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/tier.h"
#include "checkpoints/choice.h"
#include "checkpoints/costs.h"
#include "checkpoints/facts.h"
#include "checkpoints/lending.h"
#include "checkpoints/rates.h"

namespace lichenlug {

// How often a job saves: `every` until `until`, then every `then`; 0: not at all. The intervals are in time
// of work, in whole milliseconds. A job that receives no update falls back to `then`; a job that has lost its
// dispatcher stops saving.
struct SavePlan {
  Time every = 0, until = 0, then = 0;
  bool operator==(const SavePlan&) const = default;
};

class Checkpoints : public PeerProtocol {
 public:
  struct Settings {
    double saves_a_second = 10;              // the store's limit, for the whole tier
    double save_cost = 1, restart_cost = 2;  // initial estimates, in seconds
    double update_cost = 0.05;               // seconds of a job's time that a plan update costs
  };
  struct Place {
    int number = 0, tier = 1, zone = -1;
  };
  struct JobFacts {
    std::string tenant, cls, runner;
    double work = 0;  // seconds left, from the class's mean or a hint
    double worth_a_second = 1, slack = -1, lost_when_late = 0;
  };
  using JobId = std::uint64_t;
  static constexpr std::size_t kMaxJobs = 10'000;
  static constexpr Time kAllocationPeriod = 5 * kSecond, kRatesPeriod = 5 * kSecond;

  Checkpoints(const Settings& settings, const Place& place, std::uint64_t life, std::uint64_t seed, Time now);

  // A runner was observed alive; `up_since` is the start of its current life. A later start than the known
  // one means that the previous life has ended.
  void Seen(std::string_view runner, int zone, int kind, Time up_since, Time now);
  void Draining(std::string_view runner, Time now);  // planned, not a failure
  void Lost(std::string_view runner, Time now);      // reported by a callback, or its connections broke

  SavePlan Begin(JobId id, const JobFacts& job, Time now);
  // Progress since the last note (or the start): `took` seconds elapsed, `worked` seconds of work, `saves`
  // checkpoints. `restarted`: it resumed from a checkpoint in between.
  void Noted(JobId id, double took, double worked, int saves, bool restarted, Time now);
  void Moved(JobId id, std::string_view runner, Time now);  // it continues on `runner`
  void End(JobId id);
  std::vector<std::pair<JobId, SavePlan>> Retold(Time now);

  Time DueAt() const override { return due_; }
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;
  void TierChanged(const TierView& view, Time now) override;

  const Facts& facts() const { return facts_; }
  const Rates& rates(Time now);
  double Committed(Time now) const;  // saves a second that the current plans allow
  const Lending& lending() const { return lending_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Running {
    JobFacts facts;
    SavePlan plan;
    double rate = 0, old_rate = 0, then_rate = 0;  // saves a second; `old_rate` may still be in use
    Time old_until = 0;
  };

  void EndLife(const LifeKey& key, Life* life, bool planned, Time now);
  Job MakeJob(const Running& running, Time now);
  void SetRate(Running* running, double rate, double then_rate, Time now);
  static double HeldRate(const Running& running, Time now);
  void ScheduleSend(Time now) { due_ = due_ == 0 ? now : std::min(due_, now); }

  const Settings settings_;
  const Place place_;
  Facts facts_;
  Rates rates_;
  Time rates_at_ = 0;
  Lending lending_;
  TierView tier_;
  std::map<JobId, Running> jobs_;
  std::map<std::string, Costs, std::less<>> costs_;     // by class
  std::vector<std::pair<LifeKey, Time>> pending_ends_;  // ends to be broadcast, with the send time
  LifeKey next_life_{};                                 // where the next periodic exchange starts
  std::minstd_rand random_;
  Time due_, next_exchange_, allocated_at_ = 0;
  std::uint64_t refused_ = 0;
  std::vector<Datagram> answers_;
};

}  // namespace lichenlug
