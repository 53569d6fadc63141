// One job under suspicion: all that dispatchers share of it, and how two of them merge.
#pragma once

#include <cstdint>
#include <string>

#include "quarantine/decisions.h"
#include "quarantine/evidence.h"
#include "quarantine/fingerprint.h"

namespace lichenlug {

enum class State : std::uint8_t { kWatched, kSuspected, kQuarantined, kReleased, kOnTrial, kDiscarded };

std::string_view StateName(State state);

inline std::uint32_t UnixSeconds(Time at) { return static_cast<std::uint32_t>(at / kSecond); }

// The one run that a home lets go while the job is suspected or on trial.
struct Attempt {
  std::uint16_t epoch = 0;  // 0: there was none; each run that a home begins has one more than it knew of
  std::uint16_t home = 0;   // the dispatcher's number
  bool running = false;
  std::uint8_t lost = 0;  // runs whose home was never heard of again: each may have taken a runner
  Time until = 0;         // what its home claims; renewed while it runs

  bool Runs(Time now) const { return running && now < until; }
};

struct Ticket {
  std::uint64_t tenant = 0;     // a hash of its name
  std::uint32_t job_class = 0;  // likewise
  std::string line;
  // A trial that succeeds begins the next generation: evidence of those before is gone for all.
  std::uint16_t generation = 0;
  std::uint32_t condemned_until = 0;  // Unix seconds; 0: the evidence has not condemned it
  std::uint8_t failed_trials = 0;
  Evidence evidence;
  Decisions decisions;
  Attempt attempt;

  // Not shared: this dispatcher's own bookkeeping.
  Time changed = 0;
  int home = -1;  // who may begin runs, by the view from here
  Time home_since = 0;
  std::uint32_t digest = 0;  // as summed up in Digests

  bool condemned(Time now) const { return UnixSeconds(now) < condemned_until; }
  State StateAt(Time now) const;
  int strikes() const { return evidence.strikes() + attempt.lost; }
  // Nothing is left that anybody needs. What was decided is kept, so that one who did not hear of a success
  // cannot bring back what it cleared.
  bool Spent(Time now) const;
  // A suspicion may be pushed out; what was condemned or decided may not.
  bool MayBePushedOut(Time now) const;
};

// Commutative, associative, idempotent. True: `into` has learned something.
bool Merge(Ticket* into, const Ticket& from);

// The same for the same shared knowledge, whatever the times.
std::uint32_t DigestOf(const Fingerprint& job, const Ticket& ticket);

}  // namespace lichenlug
