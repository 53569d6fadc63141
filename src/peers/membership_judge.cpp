#include "peers/membership_judge.h"

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

void Judge::Put(int member, const Fact& told, bool news) {
  const Fact before = here_->table.Of(member);
  if (!here_->table.Put(member, told, news)) return;
  const Fact& fact = here_->table.Of(member);
  Peer& peer = here_->peers[member];
  const Time now = here_->now();
  if (fact.life != before.life) peer = Peer{.heard = peer.heard, .sign = peer.sign};
  if (fact.Epoch() != before.Epoch()) {
    peer.failed = false, peer.since = 0;
    if (!fact.Accused()) {
      peer.sign = now;
      if (before.Accused() && before.life == fact.life) ++peer.cleared, peer.cleared_at = now;
    }
  }
  const bool first = fact.Accused() && peer.since == 0;
  const bool died = fact.dead && (!before.dead || before.Epoch() != fact.Epoch());
  if (first || died) peer.since = now;
  if (first && !fact.dead && fact.life == before.life) {
    peer.look_at = now + here_->Below(kLook);
    if (Confirms(member)) prober_->Begin(member);
  }
  if (first || died || fact.Epoch() != before.Epoch() || fact.accusers.size() > before.accusers.size())
    urgent_ = urgent_ || (news && (before.life != 0 || fact.left));
}

// The best-ranked members of each zone probe at once, so that observers of several zones agree quickly.
bool Judge::Confirms(int member) const {
  const std::uint64_t own = Rank(member, here_->number);
  int better = 0;
  for (int i = 0; i < here_->tier(); ++i)
    if (i != here_->number && i != member && here_->Present(i) && !here_->table.Of(i).Accused() &&
        here_->table.Of(i).zone == here_->zone)
      better += Rank(member, i) < own;
  return better < kConfirmers;
}

bool Judge::Doubts() const {
  const Time now = here_->now();
  int known = 0;
  for (int i = 0; i < here_->tier(); ++i) known += i != here_->number && here_->Present(i);
  return now < here_->trusted_at || (here_->told_deaf_at != 0 && now - here_->told_deaf_at < kSecond) ||
         here_->time.LateWithin(kSecond) || (known > 2 && prober_->ShareInVain() > 0.5);
}

void Judge::Accuse(int member, Weight weight) {
  const Fact& fact = here_->table.Of(member);
  if (!here_->Present(member) || here_->now() < here_->trusted_at) return;
  Fact told = fact;
  told.accusers = {
      {static_cast<std::uint16_t>(here_->number), here_->zone, Doubts() ? Weight::kWeak : weight}};
  Put(member, told, true);
}

void Judge::ProbedInVain(int member) {
  Peer& peer = here_->peers[member];
  const Time now = here_->now();
  const Fact& fact = here_->table.Of(member);
  // On a link that is known to be bad, silence means little.
  if (peer.cut && !fact.Accused() && now - peer.sign < kCutTimeout) return;
  // A member that refuted suspicions repeatedly isn't suspected again at once.
  const Time rest = 250 * kMillisecond << std::clamp(peer.cleared, 0, 4);
  if (peer.cleared > 1 && now - peer.cleared_at < rest) return;
  Accuse(member, Weight::kSilent);
}

void Judge::Refused(int member) {
  Peer& peer = here_->peers[member];
  if (!here_->Present(member)) return;
  if (++peer.refused < 2) return void(prober_->Ping(member, Outbox::kForProbes));
  peer.failed = true;
  Accuse(member, Weight::kRefused);
}

void Judge::CountObservers() {
  observers_.fill(0);
  for (int i = 0; i < here_->tier(); ++i)
    if (here_->Present(i)) ++observers_[here_->table.Of(i).zone];
}

// Agreement takes accusers of more than one zone; if only one zone has observers, two accusers, or the only
// observer.
bool Judge::Agreed(int member, Weight least) const {
  const Fact& fact = here_->table.Of(member);
  int count = 0, zones = 0;
  for (int zone = 0; zone < static_cast<int>(observers_.size()); ++zone) {
    const int observers = observers_[zone] - (zone == fact.zone && here_->Present(member));
    count += observers, zones += observers > 0;
  }
  std::set<std::uint8_t> agreeing_zones;
  int agreeing = 0;
  for (const Accuser& it : fact.accusers)
    if (it.weight >= least && it.weight != Weight::kWeak) ++agreeing, agreeing_zones.insert(it.zone);
  return zones > 1 ? agreeing_zones.size() > 1 : agreeing >= std::min(2, count);
}

// As in Lifeguard, the suspicion timeout shrinks with the number of independent accusers.
Time Judge::ObjectionTime(int member) const {
  if (Agreed(member, Weight::kRefused)) return kRefusedObjection;
  int strong = 0;
  for (const Accuser& it : here_->table.Of(member).accusers) strong += it.weight != Weight::kWeak;
  const double shrunk = std::min(1.0, std::log(std::max(strong, 1)) / std::log(4));
  return kMaxObjection - static_cast<Time>(shrunk * (kMaxObjection - kMinObjection));
}

void Judge::Step() {
  const Time now = here_->now();
  CountObservers();
  for (int i = 0; i < here_->tier(); ++i) {
    Peer& peer = here_->peers[i];
    if (peer.cleared > 0 && now - peer.cleared_at > kForget) --peer.cleared, peer.cleared_at = now;
    const Fact& fact = here_->table.Of(i);
    if (i == here_->number || fact.left || !fact.Accused()) continue;
    if (peer.heard > peer.since) {
      if (now - peer.since < kWitness || fact.round == kMaxRound) continue;
      Fact told = fact;
      ++told.round, told.dead = false, told.accusers.clear();
      Put(i, told, true);
      continue;
    }
    if (fact.dead || now < here_->trusted_at || now - peer.since < ObjectionTime(i)) continue;
    if (!Agreed(i, Weight::kSilent)) continue;
    Fact told = fact;
    told.dead = true;
    Put(i, told, true);
  }
}

void Judge::Woke() {
  for (int i = 0; i < here_->tier(); ++i) {
    Peer& peer = here_->peers[i];
    peer.heard = peer.answered = peer.sign = peer.look_at = 0;
    peer.failed = false;
    if (peer.since != 0) peer.since = here_->now();
  }
}

bool Judge::Isolated() const { return here_->now() - here_->round_trip_at >= kIsolated; }

MemberStatus Judge::Of(int member) const {
  const Fact& fact = here_->table.Of(member);
  const Peer& peer = here_->peers[member];
  const Time now = here_->now();
  if (fact.life == 0)
    return peer.heard != 0 && now - peer.heard < 5 * kSecond ? MemberStatus::kJoining
                                                             : MemberStatus::kUnknown;
  if (fact.left) return MemberStatus::kLeft;
  if (fact.dead) return MemberStatus::kDead;
  if (Isolated() || peer.cut) return MemberStatus::kCutOff;
  if (!fact.Accused() || peer.heard > peer.since) return MemberStatus::kAlive;
  return now - peer.since < kMaxObjection + kSecond / 5 ? MemberStatus::kSuspected : MemberStatus::kCutOff;
}

// Flap damping: a member that recovers repeatedly must stay up for a while before it counts.
MemberStatus Judge::Held(int member, MemberStatus status) {
  Shown& shown = shown_[member];
  const Time now = here_->now();
  if (shown.comebacks > 0 && now - shown.comeback_at > kForget) --shown.comebacks, shown.comeback_at = now;
  if (!TierView::Counts(status)) return status;
  if (shown.status == MemberStatus::kDead || shown.status == MemberStatus::kCutOff) {
    if (shown.life == here_->table.Of(member).life && now >= here_->trusted_at) {
      ++shown.comebacks, shown.comeback_at = now;
      shown.held_until = shown.comebacks < 2 ? 0 : now + (kSecond << std::min(shown.comebacks - 2, 3));
    }
  }
  return now < shown.held_until ? MemberStatus::kJoining : status;
}

bool Judge::Show(TierView* view) {
  bool changed = false;
  for (int i = 0; i < here_->tier(); ++i) {
    const Fact& fact = here_->table.Of(i);
    TierMember& it = view->members[i];
    MemberStatus status = i != here_->number ? Held(i, Of(i))
                          : fact.left        ? MemberStatus::kLeft
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
