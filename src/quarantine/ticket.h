// A job under suspicion: the state that dispatchers share about it, and how two copies merge.
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

// The single run that a home permits while the job is suspected or on trial.
struct Attempt {
  std::uint16_t epoch = 0;  // 0: none yet; each run that a home begins gets the highest known epoch plus one
  std::uint16_t home = 0;   // the dispatcher's number
  bool running = false;
  std::uint8_t lost = 0;  // runs whose home disappeared: each may have killed a runner
  Time until = 0;         // end of its home's claim; renewed while it runs

  bool Runs(Time now) const { return running && now < until; }
};

struct Ticket {
  std::uint64_t tenant = 0;     // a hash of the name
  std::uint32_t job_class = 0;  // likewise
  std::string line;
  // A successful trial begins the next generation; evidence of earlier ones is discarded on all dispatchers.
  std::uint16_t generation = 0;
  std::uint32_t condemned_until = 0;  // Unix seconds; 0: not condemned by the evidence
  std::uint8_t failed_trials = 0;
  Evidence evidence;
  Decisions decisions;
  Attempt attempt;

  // Local state, not shared.
  Time changed_at = 0;
  int home = -1;  // the dispatcher that may begin runs, in the local view
  Time home_since = 0;
  std::uint32_t digest = 0;  // as included in the table's checksums

  bool condemned(Time now) const { return UnixSeconds(now) < condemned_until; }
  State StateAt(Time now) const;
  int strikes() const { return evidence.strikes() + attempt.lost; }
  // Whether the ticket can be removed. Decisions are kept for a time, so that a dispatcher that missed a
  // successful trial can't restore the evidence that it cleared.
  bool Expired(Time now) const;
  // A suspicion may be evicted; a condemned or decided ticket may not.
  bool Evictable(Time now) const;
};

// Commutative, associative, idempotent. Returns true if `into` has changed.
bool Merge(Ticket* into, const Ticket& from);

// Equal for equal shared state; times are ignored.
std::uint32_t DigestOf(const Fingerprint& job, const Ticket& ticket);

}  // namespace lichenlug
