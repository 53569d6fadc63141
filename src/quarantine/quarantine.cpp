#include "quarantine/quarantine.h"

#include <algorithm>

namespace lichenlug {
namespace {

constexpr Time kRetryWhileRunning = 2 * kSecond, kRetryNotHome = kSecond;
constexpr int kMaxDoublings = 6;

}  // namespace

Job Job::Of(const JobParts& parts) {
  return {FingerprintOf(parts), ShortHash(parts.tenant),
          static_cast<std::uint32_t>(ShortHash(parts.job_class)), DescriptionOf(parts)};
}

Quarantine::Quarantine(int own, std::uint64_t life, const Settings& settings)
    : own_(own),
      writer_(static_cast<std::uint32_t>(ShortHash(std::to_string(own) + " " + std::to_string(life)))),
      table_(settings.max_tickets, settings.max_per_tenant),
      gossip_(settings.seed) {}

Quarantine::Verdict Quarantine::Admit(const Job& job, Time now) {
  now_ = now;
  RecordCall(now);
  Ticket* ticket = table_.Find(job.fingerprint);
  if (ticket == nullptr) return {};
  const State state = ticket->StateAt(now);
  const std::uint32_t until =
      std::max(ticket->condemned_until, ticket->decisions.Current(UnixSeconds(now)).until);
  switch (state) {
    case State::kWatched:
      return {};
    case State::kDiscarded:
      ++counters_.refused;
      return {.what = Verdict::What::kDiscarded, .until = ticket->decisions.Current(UnixSeconds(now)).until};
    case State::kQuarantined:
      ++counters_.refused;
      return {.what = Verdict::What::kQuarantined, .until = until};
    case State::kSuspected:
    case State::kReleased:
    case State::kOnTrial:
      break;
  }
  at_stake_.insert(job.fingerprint);
  homes_.SetHome(job.fingerprint, ticket, now);
  const Time rest = state == State::kSuspected ? PausedUntil(*ticket) : 0;
  if (state != State::kOnTrial && now >= rest && MayBegin(job.fingerprint, *ticket, now))
    return StartRun(job.fingerprint, ticket, state, now);
  ++counters_.deferred;
  const Time wait = ticket->attempt.Runs(now) ? kRetryWhileRunning : kRetryNotHome;
  return {.what = Verdict::What::kLater, .retry_after = std::max(wait, rest - now), .home = ticket->home};
}

bool Quarantine::MayBegin(const Fingerprint& job, const Ticket& ticket, Time now) const {
  return homes_.MayAct(ticket, now) && !ticket.attempt.Runs(now) && !claims_.contains(job) &&
         !running_.contains(job);
}

Time Quarantine::PausedUntil(const Ticket& ticket) const {
  const int over = ticket.strikes() - kMaxStrikes;
  if (over < 0) return 0;
  const Time last =
      std::max(ticket.evidence.last_strike(), ticket.attempt.lost > 0 ? ticket.attempt.until : 0);
  return last + (kStrikePause << std::min(over, kMaxDoublings));
}

Quarantine::Verdict Quarantine::StartRun(const Fingerprint& job, Ticket* ticket, State state, Time now) {
  const bool trial = state == State::kReleased;
  if (trial && !ticket->decisions.Decide(writer_, Decision::kOnTrial, 0))
    return {.what = Verdict::What::kLater, .retry_after = kRetryWhileRunning, .home = ticket->home};
  Attempt& attempt = ticket->attempt;
  if (attempt.running && attempt.lost < UINT8_MAX) ++attempt.lost;
  attempt.epoch += 1, attempt.home = static_cast<std::uint16_t>(own_), attempt.running = true;
  attempt.until = now + kClaim;
  claims_[job] = {
      .epoch = attempt.epoch, .generation = ticket->generation, .trial = trial, .renew_at = now + kRenew};
  counters_.trials += trial ? 1 : 0;
  ApplyChange(job, ticket, state, ticket->condemned(now), true, now);
  return {.what = Verdict::What::kRunAlone, .home = own_};
}

void Quarantine::Started(const Job& job, Time now) {
  now_ = now;
  if (running_.size() < kMaxRunning || running_.contains(job.fingerprint)) ++running_[job.fingerprint];
}

void Quarantine::Dropped(const Job& job, Time now) {
  now_ = now;
  if (Ticket* ticket = table_.Find(job.fingerprint))
    EndClaim(job.fingerprint, ticket, Outcome::kNothing, now);
  claims_.erase(job.fingerprint);
}

void Quarantine::Ended(const Job& job, const Runner& runner, Outcome outcome, Time now) {
  now_ = now;
  RecordCall(now);
  if (const auto run = running_.find(job.fingerprint); run != running_.end() && --run->second <= 0)
    running_.erase(run);
  Sign sign{.runner = static_cast<std::uint32_t>(ShortHash(runner.name)),
            .life = static_cast<std::uint16_t>(runner.life ^ runner.life >> 16 ^ runner.life >> 32),
            .runner_kind = static_cast<std::uint8_t>(runner.kind),
            .zone = static_cast<std::uint8_t>(runner.zone),
            .what = outcome,
            .at = now};
  Ticket* ticket = table_.Find(job.fingerprint);
  if (sign.bad()) {
    Remember(job, runner, sign.runner);
    if (ticket == nullptr) ticket = table_.FindOrAdd(job.fingerprint, job.tenant, now);
    if (ticket != nullptr) {
      ticket->job_class = job.job_class;
      if (ticket->line.empty()) ticket->line = job.line;
    } else {
      ++counters_.table_full;
    }
  }
  sign.weight = background_.WeightOf({job.fingerprint, job.job_class, sign}, now);
  background_.RecordRun(sign.runner, job.job_class, outcome, now);
  if (ticket != nullptr && outcome != Outcome::kNothing) AddSign(job.fingerprint, ticket, sign, now);
  if (sign.bad()) AddBadEnd({job.fingerprint, job.job_class, sign}, now);
  if (ticket != nullptr) EndClaim(job.fingerprint, ticket, outcome, now);
  claims_.erase(job.fingerprint);
}

void Quarantine::Remember(const Job& job, const Runner& runner, std::uint32_t runner_hash) {
  if (local_ends_.size() >= kMaxLocalEndJobs && !local_ends_.contains(job.fingerprint))
    local_ends_.erase(local_ends_.begin());
  std::vector<LocalEnd>& seen = local_ends_[job.fingerprint];
  if (seen.size() < kMaxLocalEnds) seen.push_back({std::string(runner.name), runner_hash, job.job_class});
}

void Quarantine::EndClaim(const Fingerprint& job, Ticket* ticket, Outcome outcome, Time now) {
  const auto claim = claims_.find(job);
  if (claim == claims_.end()) return;
  const State before = ticket->StateAt(now);
  const bool was_condemned = ticket->condemned(now);
  if (ticket->attempt.home == own_ && ticket->attempt.epoch == claim->second.epoch)
    ticket->attempt.running = false;
  if (claim->second.trial && claim->second.generation == ticket->generation) {
    if (outcome == Outcome::kSucceeded) {
      if (ticket->decisions.Decide(writer_, Decision::kCleared, 0)) {
        ticket->generation += 1;
        ticket->evidence = {}, ticket->condemned_until = 0, ticket->attempt.lost = 0;
      }
    } else if (outcome == Outcome::kNothing) {
      ticket->decisions.Decide(writer_, Decision::kReleased, 0);
    } else {
      RecordFailedTrial(ticket, now);
    }
  }
  claims_.erase(claim);
  ApplyChange(job, ticket, before, was_condemned, true, now);
}

void Quarantine::RecordFailedTrial(Ticket* ticket, Time now) {
  const std::uint32_t until = UnixSeconds(now) + kQuarantineSeconds;
  ticket->decisions.Decide(writer_, Decision::kTrialFailed, until);
  ticket->condemned_until = std::max(ticket->condemned_until, until);
  if (ticket->failed_trials < UINT8_MAX) ++ticket->failed_trials;
}

void Quarantine::AddSign(const Fingerprint& job, Ticket* ticket, const Sign& sign, Time now) {
  const State before = ticket->StateAt(now);
  const bool was_condemned = ticket->condemned(now);
  if (ticket->evidence.Add(sign)) ApplyChange(job, ticket, before, was_condemned, sign.bad(), now);
}

void Quarantine::AddBadEnd(const Background::End& end, Time now) {
  background_.Ended(end);
  for (const Background::End& nearby : background_.NearbyEnds(end)) {
    Ticket* other = table_.Find(nearby.job);
    if (other == nullptr) continue;
    const State before = other->StateAt(now);
    if (other->evidence.Lower(nearby.sign, background_.WeightOf(nearby, now)))
      ApplyChange(nearby.job, other, before, other->condemned(now), false, now);
  }
}

void Quarantine::ApplyChange(const Fingerprint& job, Ticket* ticket, State before, bool was_condemned,
                             bool urgent, Time now) {
  if (!ticket->condemned(now) && ticket->evidence.Sum(now) >= kCondemnAt)
    ticket->condemned_until = UnixSeconds(now) + kQuarantineSeconds;
  table_.Changed(job, ticket, now);
  gossip_.Changed(job, urgent);
  const State state = ticket->StateAt(now);
  if (state == State::kSuspected || state == State::kReleased || state == State::kOnTrial) {
    at_stake_.insert(job);
    homes_.SetHome(job, ticket, now);
  } else {
    at_stake_.erase(job);
  }
  if (state != before) {
    if (changes_.size() < kMaxQueued)
      changes_.push_back({job, before, state, ticket->evidence.Sum(now), ticket->strikes()});
    else
      ++counters_.reports_dropped;
  }
  if (!was_condemned && ticket->condemned(now)) OnCondemned(job, *ticket, now);
}

void Quarantine::OnCondemned(const Fingerprint& job, const Ticket& ticket, Time now) {
  ++counters_.condemned;
  const std::vector<Sign> signs = ticket.evidence.signs();
  background_.Exonerate(job, signs);
  if (const auto seen = local_ends_.find(job); seen != local_ends_.end()) {
    for (const LocalEnd& it : seen->second) {
      const auto sign = std::ranges::find_if(
          signs, [&](const Sign& other) { return other.bad() && other.runner == it.runner_hash; });
      if (sign == signs.end()) continue;
      if (taken_back_.size() < kMaxQueued)
        taken_back_.push_back({it.runner, it.job_class, 1});
      else
        ++counters_.reports_dropped;
    }
    local_ends_.erase(seen);
  }
  // Bad ends of jobs that ran at the same places are explained by this one.
  for (auto& [other, its] : table_.all()) {
    if (other == job) continue;
    const State before = its.StateAt(now);
    bool lowered = false;
    for (const Sign& sign : signs)
      if (sign.bad()) lowered |= its.evidence.Lower(sign, 0);
    if (lowered) ApplyChange(other, &its, before, its.condemned(now), false, now);
  }
}

}  // namespace lichenlug
