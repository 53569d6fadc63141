// The parts of Quarantine that exchange state with peers, maintain claims and apply owners' decisions.
#include <algorithm>

#include "quarantine/quarantine.h"

namespace lichenlug {
namespace {

// Tolerated clock difference in seconds: tickets held longer than the limits plus this are rejected.
constexpr std::uint32_t kClockToleranceSeconds = 3600;

}  // namespace

Time Quarantine::DueAt() const {
  const Time gossip = gossip_.DueAt(std::max<Time>(now_, 1));
  if (at_stake_.empty()) return gossip;
  const Time pulse = now_ + Homes::kCallPeriod;
  return gossip == 0 ? pulse : std::min(gossip, pulse);
}

std::vector<PeerProtocol::Datagram> Quarantine::MakeDatagrams(Time now) {
  now_ = now;
  RecordCall(now);
  MaintainClaims(now);
  table_.Sweep(now);
  return gossip_.MakeDatagrams(table_, now);
}

void Quarantine::MaintainClaims(Time now) {
  for (auto& [job, claim] : claims_) {
    Ticket* ticket = table_.Find(job);
    if (now < claim.renew_at || ticket == nullptr) continue;
    claim.renew_at = now + kRenew;
    if (ticket->attempt.home != own_ || ticket->attempt.epoch != claim.epoch)
      continue;  // taken over by another dispatcher
    ticket->attempt.until = now + kClaim;
    gossip_.Changed(job, false);
  }
  for (auto it = at_stake_.begin(); it != at_stake_.end();) {
    const Fingerprint job = *it++;
    Ticket* ticket = table_.Find(job);
    const State state = ticket == nullptr ? State::kWatched : ticket->StateAt(now);
    if (state == State::kOnTrial && !ticket->attempt.Runs(now) && !claims_.contains(job) &&
        homes_.MayAct(*ticket, now)) {  // its home disappeared: the trial counts as failed
      const bool was_condemned = ticket->condemned(now);
      ticket->attempt.running = false;
      RecordFailedTrial(ticket, now);
      ApplyChange(job, ticket, state, was_condemned, true, now);
    } else if (state != State::kSuspected && state != State::kReleased && state != State::kOnTrial) {
      at_stake_.erase(job);
    }
  }
}

bool Quarantine::HandleMessage(int peer, std::string_view body, Time now) {
  now_ = std::max(now_, now);
  RecordCall(now);
  std::vector<Gossip::ReceivedTicket> received;
  if (!gossip_.HandleMessage(peer, body, table_, now, &received)) {
    ++counters_.malformed;
    return false;
  }
  for (const Gossip::ReceivedTicket& it : received)
    if (MergeTicket(it.job, it.ticket, now) && it.acknowledge)
      gossip_.Acknowledge(peer, it.job, it.ticket.decisions);
  return true;
}

bool Quarantine::MergeTicket(const Fingerprint& job, const Ticket& received, Time now) {
  const std::uint32_t today = UnixSeconds(now);
  if (received.condemned_until > today + kQuarantineSeconds + kClockToleranceSeconds ||
      received.decisions.Current(today).until > today + kMaxDiscardSeconds + kClockToleranceSeconds) {
    ++counters_.malformed;
    return false;
  }
  Ticket* ticket = table_.Find(job);
  if (ticket == nullptr) {
    if (received.Expired(now) && received.decisions.dots().empty()) return true;
    ticket = table_.FindOrAdd(job, received.tenant, now);
    if (ticket == nullptr) {
      ++counters_.table_full;
      return false;
    }
  }
  const State before = ticket->StateAt(now);
  const bool was_condemned = ticket->condemned(now);
  const std::vector<Sign> known = ticket->evidence.signs();
  if (!Merge(ticket, received)) return true;
  std::vector<Background::End> fresh;
  for (const Sign& sign : ticket->evidence.signs())
    if (sign.bad() && std::ranges::none_of(known, [&](const Sign& it) { return it.SameAs(sign); }))
      fresh.push_back({job, ticket->job_class, sign});
  for (const Background::End& end : fresh)
    if (!ticket->condemned(now)) ticket->evidence.Lower(end.sign, background_.WeightOf(end, now));
  ApplyChange(job, ticket, before, was_condemned, false, now);
  for (const Background::End& end : fresh)
    if (!ticket->condemned(now)) AddBadEnd(end, now);
  return true;
}

void Quarantine::TierChanged(const TierView& view, Time now) {
  now_ = now;
  RecordCall(now);
  if (!homes_.SetView(view, now)) return;
  gossip_.SetMembers(own_, homes_.counted());
  background_.SetMembers(homes_.members());
  for (const Fingerprint& job : at_stake_)
    if (Ticket* ticket = table_.Find(job)) homes_.SetHome(job, ticket, now);
}

Quarantine::DecisionResult Quarantine::MakeAnswer(const Fingerprint& job, const Ticket& ticket,
                                                  DecisionResult::What what, Time now) const {
  return {.what = what,
          .state = ticket.StateAt(now),
          .holders = gossip_.Holders(job, ticket),
          .members = homes_.members()};
}

Quarantine::DecisionResult Quarantine::RecordDecision(const Fingerprint& job, Ticket* ticket, Decision what,
                                                      std::uint32_t until, Time now) {
  const State before = ticket->StateAt(now);
  const bool was_condemned = ticket->condemned(now);
  if (!ticket->decisions.Decide(writer_, what, until))
    return MakeAnswer(job, *ticket, DecisionResult::What::kTooManyWriters, now);
  ApplyChange(job, ticket, before, was_condemned, true, now);
  gossip_.CountHolders(job, *ticket, now);
  return MakeAnswer(job, *ticket, DecisionResult::What::kDone, now);
}

Quarantine::DecisionResult Quarantine::Release(std::uint64_t tenant, const Fingerprint& job, Time now) {
  now_ = now;
  Ticket* ticket = table_.Find(job);
  if (ticket == nullptr || ticket->tenant != tenant) return {.what = DecisionResult::What::kNotFound};
  switch (ticket->StateAt(now)) {
    case State::kReleased:
    case State::kOnTrial:
      gossip_.CountHolders(job, *ticket, now);
      return MakeAnswer(job, *ticket, DecisionResult::What::kDone, now);
    case State::kQuarantined:
    case State::kDiscarded:
      return RecordDecision(job, ticket, Decision::kReleased, 0, now);
    case State::kWatched:
    case State::kSuspected:
      break;
  }
  return MakeAnswer(job, *ticket, DecisionResult::What::kNotHeld, now);
}

Quarantine::DecisionResult Quarantine::Discard(std::uint64_t tenant, const Fingerprint& job,
                                               std::uint32_t until, Time now) {
  now_ = now;
  Ticket* ticket = table_.Find(job);
  if (ticket == nullptr || ticket->tenant != tenant) return {.what = DecisionResult::What::kNotFound};
  if (until <= UnixSeconds(now) || until > UnixSeconds(now) + kMaxDiscardSeconds)
    return MakeAnswer(job, *ticket, DecisionResult::What::kInvalidEnd, now);
  const Decisions::Dot status = ticket->decisions.Current(UnixSeconds(now));
  if (status.what == Decision::kDiscarded && status.until == until) {
    gossip_.CountHolders(job, *ticket, now);
    return MakeAnswer(job, *ticket, DecisionResult::What::kDone, now);
  }
  return RecordDecision(job, ticket, Decision::kDiscarded, until, now);
}

std::vector<std::pair<Fingerprint, Ticket>> Quarantine::List(std::uint64_t tenant, const Fingerprint& after,
                                                             int max_count) const {
  std::vector<std::pair<Fingerprint, Ticket>> found;
  for (auto it = table_.all().upper_bound(after);
       it != table_.all().end() && static_cast<int>(found.size()) < max_count; ++it)
    if (it->second.tenant == tenant) found.push_back(*it);
  return found;
}

}  // namespace lichenlug
