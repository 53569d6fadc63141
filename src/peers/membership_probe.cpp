#include "peers/membership_probe.h"

namespace lichenlug::membership {

bool Prober::Ping(int member, double reserve) {
  Message message;
  message.kind = Kind::kPing;
  message.nonce = static_cast<std::uint16_t>(local_->random());
  return local_->out.Send(member, std::move(message), reserve, local_->now());
}

void Prober::PingWithFacts(int member) {
  Message message;
  message.kind = Kind::kPing;
  message.nonce = static_cast<std::uint16_t>(local_->random());
  message.slice = NextSlice();
  for (const int it : {member, local_->number})
    if (local_->table.FactOf(it).life != 0)
      message.facts.emplace_back(static_cast<std::uint16_t>(it), local_->table.FactOf(it));
  next_slice_ += local_->out.Send(member, std::move(message), Outbox::kGreetingReserve, local_->now());
}

Slice Prober::NextSlice() {
  const int slice = next_slice_ % local_->table.slices();
  return {static_cast<std::uint8_t>(slice), local_->table.HashOf(slice)};
}

Time Prober::DirectTimeout() const {
  return std::clamp(static_cast<Time>(2 * round_trip_) + 20 * kMillisecond, kMinDirectTimeout,
                    kMaxDirectTimeout);
}

void Prober::StartProbe(int member) {
  if (probes_.contains(member) || probes_.size() >= kMaxConcurrentProbes) return;
  Probe probe;
  probe.nonce = static_cast<std::uint16_t>(local_->random());
  probe.started_at = local_->now(), probe.due = local_->now() + DirectTimeout();
  Message message;
  message.kind = Kind::kPing, message.nonce = probe.nonce;
  message.slice = NextSlice();
  const Fact& fact = local_->table.FactOf(member);
  if (fact.IsSuspectedOrDead()) message.facts.emplace_back(static_cast<std::uint16_t>(member), fact);
  if (!local_->out.Send(member, std::move(message), Outbox::kProbeReserve, local_->now())) return;
  ++next_slice_;
  probes_[member] = probe;
}

void Prober::HandleAck(int member, std::uint16_t nonce, bool direct) {
  const auto it = probes_.find(member);
  if (it == probes_.end() || it->second.nonce != nonce) return;
  Probe& probe = it->second;
  if (direct && probe.round == 0) {
    probe.first_answered = true;
    round_trip_ += (static_cast<double>(local_->now() - probe.started_at) - round_trip_) / 8;
  }
  if (direct) {
    RecordResult(member, probe, true);
    probes_.erase(it);
  }
}

// Records the result of a probe in the peer's state and the loss estimate.
void Prober::RecordResult(int member, const Probe& probe, bool alive) {
  Peer& peer = local_->peers[member];
  peer.probe_failed = !alive;
  if (!alive) return;
  if (peer.last_direct_ack >= probe.started_at || local_->peers[member].last_received >= probe.started_at)
    loss_ += ((probe.first_answered ? 0 : 1) - loss_) / 16;
  if (peer.last_direct_ack >= probe.started_at) {
    peer.direct_failures = 0;
    peer.direct_successes = probe.first_answered ? peer.direct_successes + 1 : 0;
    if (peer.cut_off && peer.direct_successes >= kAnswersToReconnect + 2 * std::min(peer.times_cut_off, 4))
      peer.cut_off = false, ++peer.times_cut_off;
  } else {
    peer.direct_successes = 0;
    if (++peer.direct_failures >= kFailuresToCutOff) peer.cut_off = true;
  }
}

std::vector<int> Prober::SelectRelays(int member) {
  std::vector<int> chosen;
  std::vector<std::uint8_t> zones;
  const auto receives = [&](int relay) {
    const auto& silent = local_->table.LinksOf(relay).silent;
    return std::ranges::find(silent, member) == silent.end();
  };
  for (const bool new_zones : {true, false})
    for (int tries = 0; tries < 16 && static_cast<int>(chosen.size()) < kRelays && !probe_order_.empty();
         ++tries) {
      const int relay = probe_order_[local_->random() % probe_order_.size()];
      const std::uint8_t zone = local_->table.FactOf(relay).zone;
      if (relay == member || !local_->IsPresent(relay) || local_->peers[relay].probe_failed ||
          !receives(relay))
        continue;
      if (std::ranges::find(chosen, relay) != chosen.end()) continue;
      if (new_zones && std::ranges::find(zones, zone) != zones.end()) continue;
      chosen.push_back(relay), zones.push_back(zone);
    }
  return chosen;
}

// Repeats the ping and requests indirect probes. False: the rate limit is reached.
bool Prober::SendNextRound(int member, Probe* probe) {
  Message ping;
  ping.kind = Kind::kPing, ping.nonce = probe->nonce;
  if (!local_->out.Send(member, ping, Outbox::kIndirectProbeReserve, local_->now())) return false;
  const bool indirect = probe->round % 2 == 0;  // every second round: extra rounds mostly add time
  for (const int relay : indirect ? SelectRelays(member) : std::vector<int>{}) {
    Message request;
    request.kind = Kind::kPingRequest, request.nonce = probe->nonce,
    request.other = static_cast<std::uint16_t>(member);
    local_->out.Send(relay, std::move(request), Outbox::kProbeReserve, local_->now());
  }
  ++probe->round;
  return true;
}

std::vector<int> Prober::Step() {
  const Time now = local_->now();
  std::vector<int> failed_members;
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [member, probe] = *it;
    if (now < probe.due) {
      ++it;
      continue;
    }
    const bool alive = local_->peers[member].last_alive >= probe.started_at;
    if (!alive && probe.round + 1 < Rounds()) {
      probe.due = now + (SendNextRound(member, &probe) ? kIndirectTimeout : kMinDirectTimeout);
      ++it;
      continue;
    }
    RecordResult(member, probe, alive);
    if (!alive) failed_members.push_back(member);
    it = probes_.erase(it);
  }
  if (now >= next_at_) StartNextProbe();
  return failed_members;
}

// Round-robin in an order that is shuffled each time (SWIM), except members whose datagrams arrive anyway.
void Prober::StartNextProbe() {
  const Time now = local_->now();
  next_at_ = now + kProbeInterval;
  for (std::size_t passed = 0; passed <= probe_order_.size(); ++passed) {
    if (at_ >= probe_order_.size()) {
      probe_order_.clear(), at_ = 0;
      for (int i = 0; i < local_->tier(); ++i)
        if (i != local_->number && local_->IsPresent(i)) probe_order_.push_back(i);
      for (std::size_t i = probe_order_.size(); i > 1; --i)
        std::swap(probe_order_[i - 1], probe_order_[local_->random() % i]);
      if (probe_order_.empty()) return;
    }
    const int member = probe_order_[at_++];
    const Peer& peer = local_->peers[member];
    if (!local_->IsPresent(member) || local_->table.FactOf(member).IsSuspectedOrDead() ||
        probes_.contains(member))
      continue;
    if (now - peer.last_received < kReceivedFreshness && now - peer.last_direct_ack < kAckFreshness) continue;
    return StartProbe(member);
  }
}

Time Prober::DueAt() const {
  Time due = next_at_;
  for (const auto& [member, probe] : probes_) due = std::min(due, probe.due);
  return due;
}

double Prober::FailedShare() const {
  int known = 0, failed = 0;
  for (int i = 0; i < local_->tier(); ++i)
    if (i != local_->number && local_->IsPresent(i)) ++known, failed += local_->peers[i].probe_failed;
  return known == 0 ? 0 : static_cast<double>(failed) / known;
}

// Enough rounds that about one in a thousand probes of live members fails: a direct round trip fails with
// about the square of the loss, an indirect one over each of three relays with its fourth power.
int Prober::Rounds() const {
  int rounds = kMinRounds;
  if (loss_ > 0.15) rounds += 2;
  if (loss_ > 0.3) rounds += 1;
  if (loss_ > 0.45) rounds += 2;
  if (FailedShare() > 0.25) rounds += 1;
  if (FailedShare() > 0.5) rounds += 2;
  if (local_->time.LateWithin(kSecond)) rounds += 1;
  return std::min(rounds, kMaxRounds);
}

}  // namespace lichenlug::membership
