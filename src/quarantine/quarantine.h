// Which jobs kill runners, held back by the whole tier, released or discarded by their owners.
//
// How a dispatcher uses it: it makes a Job of what arrived, asks Admit before each run, says Started and
// Ended (or Dropped, when what was admitted never started), hands MakeDatagrams' results to its peers and
// theirs to HandleMessage. A job of which nobody knows anything costs a look into a map. Nothing waits for a
// peer.
//
// Guards against a job that is sent from one runner to the next by each client's retry and each dispatcher
// anew. From the first strong sign on, one run of it at a time is begun in the whole tier, by its home
// (homes.h), under a claim that the home renews; the others refuse at once. After kMaxStrikes lost runners
// without a verdict it rests. What evidence.h condemns is answered finally, until the owner releases it (one
// trial) or the stated end.
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
  std::uint64_t tenant = 0;     // ShortHash of its name
  std::uint32_t job_class = 0;  // likewise
  std::string line;

  static Job Of(const JobParts& parts);
};

struct Runner {
  std::string_view name;
  std::uint64_t life = 0;  // its up_since_ms, or whatever grows with each start
  int zone = 0, kind = 0;
};

class Quarantine : public PeerProtocol {
 public:
  static constexpr int kMaxStrikes = 3;
  static constexpr Time kRest = 60 * kSecond;  // after kMaxStrikes, before a further run; doubles with each
  static constexpr Time kClaim = 10 * kSecond, kRenew = 3 * kSecond;
  static constexpr std::uint32_t kHold = 24 * 3600;  // seconds that a quarantine lasts without a decision
  static constexpr std::uint32_t kLongestDiscard = 30 * 24 * 3600;
  static constexpr std::size_t kMaxFlights = 65536, kMaxNews = 256;

  struct Settings {
    std::size_t most = 10000, max_per_tenant = 1000;  // tickets
    std::uint64_t seed = 1;
  };

  struct Verdict {
    enum class What : std::uint8_t {
      kRun,          // nothing against it
      kRunAlone,     // the one run in the tier; Ended or Dropped must follow
      kLater,        // refuse with Retry-After; `home` may run it sooner
      kQuarantined,  // final: failed, with its ticket
      kDiscarded     // final
    } what = What::kRun;
    Time retry_after = 0;
    int home = -1;
    std::uint32_t until = 0;  // Unix seconds, of the final ones
    bool runs() const { return what == What::kRun || what == What::kRunAlone; }
  };

  // For the decisions: this failure of `runner` under a job of `job_class` was the job's, `weight` of it.
  struct TakenBack {
    std::string runner;
    std::uint32_t job_class = 0;
    double weight = 1;
  };
  // For the log: one line each.
  struct Change {
    Fingerprint job;
    State from = State::kWatched, to = State::kWatched;
    double sum = 0;  // of the evidence
    int strikes = 0;
  };

  struct Counters {
    std::uint64_t later = 0, refused = 0, condemned = 0, malformed = 0, no_room = 0, trials = 0,
                  news_dropped = 0;
  };

  struct Owned {
    enum class What : std::uint8_t {
      kDone,
      kNotFound,
      kNotHeld,
      kTooManyDeciders,
      kBadEnd
    } what = What::kDone;
    State state = State::kWatched;
    int holders = 0, members = 0;  // that have the decision, of those that there are
  };

  // `life`: of this dispatcher, another with each start.
  Quarantine(int own, std::uint64_t life, const Settings& settings);

  Verdict Admit(const Job& job, Time now);
  void Started(const Job& job, Time now);
  void Ended(const Job& job, const Runner& runner, Outcome outcome, Time now);
  void Dropped(const Job& job, Time now);

  // Owners' decisions. Another tenant's ticket is not found. A discard's `until`: Unix seconds, in the
  // future.
  Owned Release(std::uint64_t tenant, const Fingerprint& ticket, Time now);
  Owned Discard(std::uint64_t tenant, const Fingerprint& ticket, std::uint32_t until, Time now);
  // Up to `most` of a tenant's, after one of them.
  std::vector<std::pair<Fingerprint, Ticket>> List(std::uint64_t tenant, const Fingerprint& after,
                                                   int most) const;

  std::vector<TakenBack> TakeTakenBack() { return std::exchange(taken_back_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  Time DueAt() const override;
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;
  void TierChanged(const TierView& view, Time now) override;

  const Table& table() const { return table_; }
  // Merges what a snapshot held.
  void Restore(const Fingerprint& job, const Ticket& ticket, Time now) { (void)Learn(job, ticket, now); }
  const Counters& counters() const { return counters_; }
  int members() const { return homes_.members(); }

 private:
  struct Claim {  // of a run that this dispatcher began as the home
    std::uint16_t epoch = 0, generation = 0;
    bool trial = false;
    Time renew_at = 0;
  };
  struct Seen {  // what this dispatcher saw itself, for TakenBack
    std::string runner;
    std::uint32_t runner_hash = 0, job_class = 0;
  };
  static constexpr std::size_t kMaxSeen = 4, kMaxSeenJobs = 4096;

  void Notice(Time now) { homes_.Notice(!at_stake_.empty(), now); }
  bool MayBegin(const Fingerprint& job, const Ticket& ticket, Time now) const;
  Time RestsUntil(const Ticket& ticket) const;
  Verdict Begin(const Fingerprint& job, Ticket* ticket, State state, Time now);
  void EndClaim(const Fingerprint& job, Ticket* ticket, Outcome outcome, Time now);
  void Remember(const Job& job, const Runner& runner, std::uint32_t runner_hash);
  void AddSign(const Fingerprint& job, Ticket* ticket, const Sign& sign, Time now);
  void Compare(const Background::End& end, Time now);  // a bad end is new: weighs those near it anew
  bool Learn(const Fingerprint& job, const Ticket& heard, Time now);  // false: no room
  // After each change of a ticket: condemns it if need be, sums it up, tells it.
  void Settle(const Fingerprint& job, Ticket* ticket, State before, bool was_condemned, bool urgent,
              Time now);
  void Condemned(const Fingerprint& job, const Ticket& ticket, Time now);
  void MindClaims(Time now);
  void PutBack(Ticket* ticket, Time now);
  Owned Answer(const Fingerprint& job, const Ticket& ticket, Owned::What what, Time now) const;
  Owned Take(const Fingerprint& job, Ticket* ticket, Decided what, std::uint32_t until, Time now);

  const int own_;
  const std::uint32_t by_;  // of decisions taken here
  Table table_;
  Background background_;
  Homes homes_;
  Gossip gossip_;
  std::map<Fingerprint, int> flights_;
  std::map<Fingerprint, Claim> claims_;
  std::map<Fingerprint, std::vector<Seen>> seen_;
  std::set<Fingerprint> at_stake_;  // suspected, released, on trial: one at a time
  std::vector<TakenBack> taken_back_;
  std::vector<Change> changes_;
  Counters counters_;
  Time now_ = 0;
};

}  // namespace lichenlug
