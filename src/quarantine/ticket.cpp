#include "quarantine/ticket.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace lichenlug {
namespace {

constexpr double kNegligibleEvidence = 0.5;
constexpr Time kDecisionRetention = 30 * 24 * 3600 * kSecond;  // the longest discard

bool MergeAttempt(Attempt* into, const Attempt& from) {
  const auto rank = [](const Attempt& it) { return std::tuple(it.epoch, it.home, !it.running); };
  const std::uint8_t lost = std::max(into->lost, from.lost);
  const Time until = rank(*into) == rank(from)
                         ? std::max(into->until, from.until)
                         : std::max(*into, from, [&](auto& a, auto& b) { return rank(a) < rank(b); }).until;
  const bool changed = rank(*into) < rank(from) || lost != into->lost || until > into->until + kSecond;
  if (rank(*into) < rank(from)) *into = from;
  into->lost = lost, into->until = until;
  return changed;
}

}  // namespace

std::string_view StateName(State state) {
  switch (state) {
    case State::kWatched:
      return "watched";
    case State::kSuspected:
      return "suspected";
    case State::kQuarantined:
      return "quarantined";
    case State::kReleased:
      return "released";
    case State::kOnTrial:
      return "on trial";
    case State::kDiscarded:
      return "discarded";
  }
  return "";
}

State Ticket::StateAt(Time now) const {
  const Decision decided = decisions.Current(UnixSeconds(now)).what;
  if (decided == Decision::kDiscarded) return State::kDiscarded;
  if (decided == Decision::kTrialFailed) return State::kQuarantined;
  if (condemned(now)) {
    if (decided == Decision::kOnTrial) return State::kOnTrial;
    return decided == Decision::kReleased ? State::kReleased : State::kQuarantined;
  }
  return evidence.Sum(now) >= kSuspectAt ? State::kSuspected : State::kWatched;
}

bool Ticket::Expired(Time now) const {
  if (StateAt(now) != State::kWatched || attempt.Runs(now)) return false;
  if (!decisions.dots().empty() && now - changed_at < kDecisionRetention) return false;
  const double sum = evidence.Sum(now);
  return sum <= kClearedAt || (sum < kNegligibleEvidence && evidence.strikes() == 0) ||
         std::ranges::all_of(evidence.signs(), [&](const Sign& it) { return now - it.at > 4 * kHalfLife; });
}

bool Ticket::Evictable(Time now) const {
  const State state = StateAt(now);
  return state == State::kWatched || state == State::kSuspected;
}

bool Merge(Ticket* into, const Ticket& from) {
  bool changed = into->decisions.Merge(from.decisions);
  if (from.generation > into->generation) {
    into->generation = from.generation;
    into->evidence = from.evidence;
    into->condemned_until = from.condemned_until;
    into->attempt = from.attempt;
    into->failed_trials = from.failed_trials;
    changed = true;
  } else if (from.generation == into->generation) {
    changed |= into->evidence.Merge(from.evidence);
    changed |= MergeAttempt(&into->attempt, from.attempt);
    changed |= from.condemned_until > into->condemned_until || from.failed_trials > into->failed_trials;
    into->condemned_until = std::max(into->condemned_until, from.condemned_until);
    into->failed_trials = std::max(into->failed_trials, from.failed_trials);
  }
  into->tenant = std::max(into->tenant, from.tenant);
  into->job_class = std::max(into->job_class, from.job_class);
  if (std::pair(from.line.size(), from.line) > std::pair(into->line.size(), into->line))
    into->line = from.line;
  return changed;
}

std::uint32_t DigestOf(const Fingerprint& job, const Ticket& ticket) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  const auto add = [&](std::uint64_t value) { XXH3_64bits_update(&state, &value, sizeof value); };
  add(job.high), add(job.low);
  add(ticket.generation), add(ticket.condemned_until), add(ticket.failed_trials);
  add(ticket.attempt.epoch), add(ticket.attempt.home), add(ticket.attempt.running ? 1 : 0),
      add(ticket.attempt.lost);
  for (const Sign& sign : ticket.evidence.signs())
    add(sign.runner), add(sign.life), add(static_cast<std::uint64_t>(sign.what) << 8 | sign.weight);
  for (const Decisions::Dot& dot : ticket.decisions.dots())
    add(dot.by), add(dot.count), add(static_cast<std::uint64_t>(dot.what));
  return static_cast<std::uint32_t>(XXH3_64bits_digest(&state));
}

}  // namespace lichenlug
