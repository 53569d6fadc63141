// Finds jobs that kill runners and holds them back in the whole tier, until their owners release or discard
// them.
//
// Usage: a dispatcher makes a Job of each arrival, calls Admit before each run, reports Started and Ended (or
// Dropped, if an admitted run never started), sends the results of MakeDatagrams to its peers and passes
// their datagrams to HandleMessage. A job without a ticket costs one map lookup. Nothing waits for a peer.
//
// Without this, client retries and other dispatchers would send such a job from runner to runner. From the
// first strong sign on, the whole tier runs the job one at a time, started by its home (homes.h) under a
// claim that the home renews; the other dispatchers refuse it immediately. After kMaxStrikes lost runners
// without a verdict it pauses (kStrikePause). A job condemned by evidence.h gets a final answer until the
// owner releases it (for one trial) or the stated end.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/tier.h"
#include "quarantine/background.h"
#include "quarantine/gossip.h"
#include "quarantine/homes.h"
#include "quarantine/table.h"

namespace lichenlug {

struct Job {
  Fingerprint fingerprint;
  std::uint64_t tenant = 0;     // ShortHash of the name
  std::uint32_t job_class = 0;  // likewise
  std::string line;

  static Job Of(const JobParts& parts);
};

struct Runner {
  std::string_view name;
  std::uint64_t life = 0;  // up_since_ms, or any value that grows with each start
  int zone = 0, kind = 0;
};

class Quarantine : public PeerProtocol {
 public:
  static constexpr int kMaxStrikes = 3;
  // Pause before the next run after kMaxStrikes; doubles with each further strike.
  static constexpr Time kStrikePause = 60 * kSecond;
  static constexpr Time kClaim = 10 * kSecond, kRenew = 3 * kSecond;
  // Seconds that a quarantine lasts without a decision by the owner.
  static constexpr std::uint32_t kQuarantineSeconds = 24 * 3600;
  static constexpr std::uint32_t kMaxDiscardSeconds = 30 * 24 * 3600;
  static constexpr std::size_t kMaxRunning = 65536, kMaxQueued = 256;

  struct Settings {
    std::size_t max_tickets = 10000, max_per_tenant = 1000;  // tickets
    std::uint64_t seed = 1;
  };

  struct Verdict {
    enum class What : std::uint8_t {
      kRun,          // no suspicion
      kRunAlone,     // the only run in the tier; Ended or Dropped must follow
      kLater,        // refuse with Retry-After; `home` may run it sooner
      kQuarantined,  // final: failed, with its ticket
      kDiscarded     // final
    } what = What::kRun;
    Time retry_after = 0;
    int home = -1;
    std::uint32_t until = 0;  // Unix seconds; set for the final answers
    bool runs() const { return what == What::kRun || what == What::kRunAlone; }
  };

  // For placement decisions: the share `weight` of this failure of `runner` was caused by a job of
  // `job_class`.
  struct TakenBack {
    std::string runner;
    std::uint32_t job_class = 0;
    double weight = 1;
  };
  // A state change, for the log.
  struct Change {
    Fingerprint job;
    State from = State::kWatched, to = State::kWatched;
    double sum = 0;  // of the evidence
    int strikes = 0;
  };

  struct Counters {
    std::uint64_t deferred = 0, refused = 0, condemned = 0, malformed = 0, table_full = 0, trials = 0,
                  reports_dropped = 0;
  };

  struct DecisionResult {
    enum class What : std::uint8_t {
      kDone,
      kNotFound,
      kNotHeld,
      kTooManyWriters,
      kInvalidEnd
    } what = What::kDone;
    State state = State::kWatched;
    int holders = 0, members = 0;  // members that have the decision, and all counted members
  };

  // `life`: identifies this start of the dispatcher.
  Quarantine(int own, std::uint64_t life, const Settings& settings);

  Verdict Admit(const Job& job, Time now);
  void Started(const Job& job, Time now);
  void Ended(const Job& job, const Runner& runner, Outcome outcome, Time now);
  void Dropped(const Job& job, Time now);

  // Owners' decisions. Another tenant's ticket gives kNotFound. `until` is in Unix seconds and must lie in
  // the future.
  DecisionResult Release(std::uint64_t tenant, const Fingerprint& ticket, Time now);
  DecisionResult Discard(std::uint64_t tenant, const Fingerprint& ticket, std::uint32_t until, Time now);
  // Up to `max_count` tickets of a tenant, those after `after`.
  std::vector<std::pair<Fingerprint, Ticket>> List(std::uint64_t tenant, const Fingerprint& after,
                                                   int max_count) const;

  std::vector<TakenBack> TakeTakenBack() { return std::exchange(taken_back_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  Time DueAt() const override;
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;
  void TierChanged(const TierView& view, Time now) override;

  const Table& table() const { return table_; }
  // Merges a ticket from a snapshot.
  void Restore(const Fingerprint& job, const Ticket& ticket, Time now) {
    (void)MergeTicket(job, ticket, now);
  }
  const Counters& counters() const { return counters_; }
  int members() const { return homes_.members(); }

 private:
  struct Claim {  // for a run that this dispatcher began as the home
    std::uint16_t epoch = 0, generation = 0;
    bool trial = false;
    Time renew_at = 0;
  };
  struct LocalEnd {  // a bad end seen locally, for TakenBack
    std::string runner;
    std::uint32_t runner_hash = 0, job_class = 0;
  };
  static constexpr std::size_t kMaxLocalEnds = 4, kMaxLocalEndJobs = 4096;

  void RecordCall(Time now) { homes_.RecordCall(!at_stake_.empty(), now); }
  bool MayBegin(const Fingerprint& job, const Ticket& ticket, Time now) const;
  Time PausedUntil(const Ticket& ticket) const;
  Verdict StartRun(const Fingerprint& job, Ticket* ticket, State state, Time now);
  void EndClaim(const Fingerprint& job, Ticket* ticket, Outcome outcome, Time now);
  void Remember(const Job& job, const Runner& runner, std::uint32_t runner_hash);
  void AddSign(const Fingerprint& job, Ticket* ticket, const Sign& sign, Time now);
  void AddBadEnd(const Background::End& end, Time now);  // for a new bad end: reweighs the ends near it
  // Returns false if the ticket was rejected.
  bool MergeTicket(const Fingerprint& job, const Ticket& received, Time now);
  // Call after each change of a ticket: condemns it if needed, updates its checksum and gossips it.
  void ApplyChange(const Fingerprint& job, Ticket* ticket, State before, bool was_condemned, bool urgent,
                   Time now);
  void OnCondemned(const Fingerprint& job, const Ticket& ticket, Time now);
  void MaintainClaims(Time now);
  void RecordFailedTrial(Ticket* ticket, Time now);
  DecisionResult MakeAnswer(const Fingerprint& job, const Ticket& ticket, DecisionResult::What what,
                            Time now) const;
  DecisionResult RecordDecision(const Fingerprint& job, Ticket* ticket, Decision what, std::uint32_t until,
                                Time now);

  const int own_;
  const std::uint32_t writer_;  // identifies this dispatcher and life in decisions
  Table table_;
  Background background_;
  Homes homes_;
  Gossip gossip_;
  std::map<Fingerprint, int> running_;
  std::map<Fingerprint, Claim> claims_;
  std::map<Fingerprint, std::vector<LocalEnd>> local_ends_;
  std::set<Fingerprint> at_stake_;  // suspected, released, on trial: run one at a time
  std::vector<TakenBack> taken_back_;
  std::vector<Change> changes_;
  Counters counters_;
  Time now_ = 0;
};

}  // namespace lichenlug
