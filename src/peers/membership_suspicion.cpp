#include "peers/membership_suspicion.h"

#include <cmath>
#include <set>

namespace lichenlug::membership {
namespace {

std::uint64_t Rank(std::uint64_t a, std::uint64_t b) {  // SplitMix64 finalizer
  std::uint64_t x = a * 0x9e3779b97f4a7c15 + b;
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9, x = (x ^ x >> 27) * 0x94d049bb133111eb;
  return x ^ x >> 31;
}

}  // namespace

void SuspicionTracker::HandleFact(int member, const Fact& update, bool disseminate) {
  const Fact before = local_->table.FactOf(member);
  if (!local_->table.Put(member, update, disseminate)) return;
  const Fact& fact = local_->table.FactOf(member);
  Peer& peer = local_->peers[member];
  const Time now = local_->now();
  if (fact.life != before.life)
    peer = Peer{.last_received = peer.last_received, .last_alive = peer.last_alive};
  if (fact.Epoch() != before.Epoch()) {
    peer.probe_failed = false, peer.suspected_at = 0;
    if (!fact.IsSuspectedOrDead()) {
      peer.last_alive = now;
      if (before.IsSuspectedOrDead() && before.life == fact.life) ++peer.refutations, peer.refuted_at = now;
    }
  }
  const bool newly_suspected = fact.IsSuspectedOrDead() && peer.suspected_at == 0;
  const bool newly_dead = fact.dead && (!before.dead || before.Epoch() != fact.Epoch());
  if (newly_suspected || newly_dead) peer.suspected_at = now;
  if (newly_suspected && !fact.dead && fact.life == before.life) {
    peer.check_at = now + local_->RandomUpTo(kMaxCheckDelay);
    if (IsConfirmer(member)) prober_->StartProbe(member);
  }
  if (newly_suspected || newly_dead || fact.Epoch() != before.Epoch() ||
      fact.accusers.size() > before.accusers.size())
    urgent_ = urgent_ || (disseminate && (before.life != 0 || fact.left));
}

// The best-ranked members of each zone probe at once, so that observers of several zones agree quickly.
bool SuspicionTracker::IsConfirmer(int member) const {
  const std::uint64_t own = Rank(member, local_->number);
  int better_ranked = 0;
  for (int i = 0; i < local_->tier(); ++i)
    if (i != local_->number && i != member && local_->IsPresent(i) &&
        !local_->table.FactOf(i).IsSuspectedOrDead() && local_->table.FactOf(i).zone == local_->zone)
      better_ranked += Rank(member, i) < own;
  return better_ranked < kConfirmersPerZone;
}

bool SuspicionTracker::DoubtsOwnHealth() const {
  const Time now = local_->now();
  int known = 0;
  for (int i = 0; i < local_->tier(); ++i) known += i != local_->number && local_->IsPresent(i);
  return now < local_->trust_after ||
         (local_->reported_unheard_at != 0 && now - local_->reported_unheard_at < kSecond) ||
         local_->time.LateWithin(kSecond) || (known > 2 && prober_->FailedShare() > 0.5);
}

void SuspicionTracker::Suspect(int member, Weight weight) {
  const Fact& fact = local_->table.FactOf(member);
  if (!local_->IsPresent(member) || local_->now() < local_->trust_after) return;
  Fact update = fact;
  update.accusers = {
      {static_cast<std::uint16_t>(local_->number), local_->zone, DoubtsOwnHealth() ? Weight::kWeak : weight}};
  HandleFact(member, update, true);
}

void SuspicionTracker::ProbeFailed(int member) {
  Peer& peer = local_->peers[member];
  const Time now = local_->now();
  const Fact& fact = local_->table.FactOf(member);
  // On a link that is known to be bad, silence means little.
  if (peer.cut_off && !fact.IsSuspectedOrDead() && now - peer.last_alive < kCutOffTimeout) return;
  // A member that refuted suspicions repeatedly isn't suspected again at once.
  const Time cool_down = 250 * kMillisecond << std::clamp(peer.refutations, 0, 4);
  if (peer.refutations > 1 && now - peer.refuted_at < cool_down) return;
  Suspect(member, Weight::kSilent);
}

void SuspicionTracker::Refused(int member) {
  Peer& peer = local_->peers[member];
  if (!local_->IsPresent(member)) return;
  if (++peer.refusals < 2) return void(prober_->Ping(member, Outbox::kProbeReserve));
  peer.probe_failed = true;
  Suspect(member, Weight::kRefused);
}

void SuspicionTracker::CountObservers() {
  observers_.fill(0);
  for (int i = 0; i < local_->tier(); ++i)
    if (local_->IsPresent(i)) ++observers_[local_->table.FactOf(i).zone];
}

// Agreement takes accusers of more than one zone; if only one zone has observers, two accusers, or the only
// observer.
bool SuspicionTracker::HasAgreement(int member, Weight least) const {
  const Fact& fact = local_->table.FactOf(member);
  int count = 0, zones = 0;
  for (int zone = 0; zone < static_cast<int>(observers_.size()); ++zone) {
    const int observers = observers_[zone] - (zone == fact.zone && local_->IsPresent(member));
    count += observers, zones += observers > 0;
  }
  std::set<std::uint8_t> agreeing_zones;
  int agreeing = 0;
  for (const Accuser& it : fact.accusers)
    if (it.weight >= least && it.weight != Weight::kWeak) ++agreeing, agreeing_zones.insert(it.zone);
  return zones > 1 ? agreeing_zones.size() > 1 : agreeing >= std::min(2, count);
}

// As in Lifeguard, the suspicion timeout shrinks with the number of independent accusers.
Time SuspicionTracker::SuspicionTimeout(int member) const {
  if (HasAgreement(member, Weight::kRefused)) return kRefusedSuspicionTimeout;
  int strong = 0;
  for (const Accuser& it : local_->table.FactOf(member).accusers) strong += it.weight != Weight::kWeak;
  const double shrunk = std::min(1.0, std::log(std::max(strong, 1)) / std::log(4));
  return kMaxSuspicionTimeout - static_cast<Time>(shrunk * (kMaxSuspicionTimeout - kMinSuspicionTimeout));
}

void SuspicionTracker::Step() {
  const Time now = local_->now();
  CountObservers();
  for (int i = 0; i < local_->tier(); ++i) {
    Peer& peer = local_->peers[i];
    if (peer.refutations > 0 && now - peer.refuted_at > kFlapMemory)
      --peer.refutations, peer.refuted_at = now;
    const Fact& fact = local_->table.FactOf(i);
    if (i == local_->number || fact.left || !fact.IsSuspectedOrDead()) continue;
    if (peer.last_received > peer.suspected_at) {
      if (now - peer.suspected_at < kWitnessDelay || fact.round == kMaxRound) continue;
      Fact update = fact;
      ++update.round, update.dead = false, update.accusers.clear();
      HandleFact(i, update, true);
      continue;
    }
    if (fact.dead || now < local_->trust_after || now - peer.suspected_at < SuspicionTimeout(i)) continue;
    if (!HasAgreement(i, Weight::kSilent)) continue;
    Fact update = fact;
    update.dead = true;
    HandleFact(i, update, true);
  }
}

void SuspicionTracker::Resumed() {
  for (int i = 0; i < local_->tier(); ++i) {
    Peer& peer = local_->peers[i];
    peer.last_received = peer.last_direct_ack = peer.last_alive = peer.check_at = 0;
    peer.probe_failed = false;
    if (peer.suspected_at != 0) peer.suspected_at = local_->now();
  }
}

bool SuspicionTracker::IsIsolated() const {
  return local_->now() - local_->round_trip_at >= kIsolationTimeout;
}

MemberStatus SuspicionTracker::StatusOf(int member) const {
  const Fact& fact = local_->table.FactOf(member);
  const Peer& peer = local_->peers[member];
  const Time now = local_->now();
  if (fact.life == 0)
    return peer.last_received != 0 && now - peer.last_received < 5 * kSecond ? MemberStatus::kJoining
                                                                             : MemberStatus::kUnknown;
  if (fact.left) return MemberStatus::kLeft;
  if (fact.dead) return MemberStatus::kDead;
  if (IsIsolated() || peer.cut_off) return MemberStatus::kCutOff;
  if (!fact.IsSuspectedOrDead() || peer.last_received > peer.suspected_at) return MemberStatus::kAlive;
  return now - peer.suspected_at < kMaxSuspicionTimeout + kSecond / 5 ? MemberStatus::kSuspected
                                                                      : MemberStatus::kCutOff;
}

// Flap damping: a member that recovers repeatedly must stay up for a while before it counts.
MemberStatus SuspicionTracker::DampFlapping(int member, MemberStatus status) {
  ShownStatus& shown = shown_[member];
  const Time now = local_->now();
  if (shown.recoveries > 0 && now - shown.recovered_at > kFlapMemory)
    --shown.recoveries, shown.recovered_at = now;
  if (!TierView::Counts(status)) return status;
  if (shown.status == MemberStatus::kDead || shown.status == MemberStatus::kCutOff) {
    if (shown.life == local_->table.FactOf(member).life && now >= local_->trust_after) {
      ++shown.recoveries, shown.recovered_at = now;
      shown.damped_until = shown.recoveries < 2 ? 0 : now + (kSecond << std::min(shown.recoveries - 2, 3));
    }
  }
  return now < shown.damped_until ? MemberStatus::kJoining : status;
}

bool SuspicionTracker::UpdateView(TierView* view) {
  bool changed = false;
  for (int i = 0; i < local_->tier(); ++i) {
    const Fact& fact = local_->table.FactOf(i);
    TierMember& it = view->members[i];
    MemberStatus status = i != local_->number ? DampFlapping(i, StatusOf(i))
                          : fact.left         ? MemberStatus::kLeft
                                              : MemberStatus::kAlive;
    const int zone = fact.life == 0 || fact.zone == kAnyZone ? -1 : fact.zone;
    changed = changed || it.status != status || it.life != fact.life || it.zone != zone;
    it.status = status, it.life = fact.life, it.zone = zone;
    shown_[i].status = status, shown_[i].life = fact.life;
  }
  if (changed) ++view->version;
  return changed;
}

}  // namespace lichenlug::membership
