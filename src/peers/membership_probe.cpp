#include "peers/membership_probe.h"

namespace lichenlug::membership {

bool Prober::Ping(int member, double reserve) {
  Message message;
  message.kind = Kind::kPing;
  message.nonce = static_cast<std::uint16_t>(here_->random());
  return here_->out.Send(member, std::move(message), reserve, here_->now());
}

void Prober::Ask(int member) {
  Message message;
  message.kind = Kind::kPing;
  message.nonce = static_cast<std::uint16_t>(here_->random());
  message.slice = SomeSlice();
  for (const int it : {member, here_->number})
    if (here_->table.Of(it).life != 0)
      message.facts.emplace_back(static_cast<std::uint16_t>(it), here_->table.Of(it));
  slice_ += here_->out.Send(member, std::move(message), Outbox::kForGreetings, here_->now());
}

Slice Prober::SomeSlice() {
  const int slice = slice_ % here_->table.slices();
  return {static_cast<std::uint8_t>(slice), here_->table.HashOf(slice)};
}

Time Prober::DirectTime() const {
  return std::clamp(static_cast<Time>(2 * way_) + 20 * kMillisecond, kMinDirect, kMaxDirect);
}

void Prober::Begin(int member) {
  if (series_.contains(member) || series_.size() >= kMaxSeries) return;
  Series series;
  series.nonce = static_cast<std::uint16_t>(here_->random());
  series.begun = here_->now(), series.due = here_->now() + DirectTime();
  Message message;
  message.kind = Kind::kPing, message.nonce = series.nonce;
  message.slice = SomeSlice();
  const Fact& fact = here_->table.Of(member);
  if (fact.Accused()) message.facts.emplace_back(static_cast<std::uint16_t>(member), fact);
  if (!here_->out.Send(member, std::move(message), Outbox::kForProbes, here_->now())) return;
  ++slice_;
  series_[member] = series;
}

void Prober::Answered(int member, std::uint16_t nonce, bool direct) {
  const auto it = series_.find(member);
  if (it == series_.end() || it->second.nonce != nonce) return;
  Series& series = it->second;
  if (direct && series.round == 0) {
    series.first_answered = true;
    way_ += (static_cast<double>(here_->now() - series.begun) - way_) / 8;
  }
  if (direct) {
    Ended(member, series, true);
    series_.erase(it);
  }
}

// Records the result of a probe in the peer's state and the loss estimate.
void Prober::Ended(int member, const Series& series, bool alive) {
  Peer& peer = here_->peers[member];
  peer.failed = !alive;
  if (!alive) return;
  if (peer.answered >= series.begun || here_->peers[member].heard >= series.begun)
    lost_ += ((series.first_answered ? 0 : 1) - lost_) / 16;
  if (peer.answered >= series.begun) {
    peer.bad = 0;
    peer.good = series.first_answered ? peer.good + 1 : 0;
    if (peer.cut && peer.good >= kCutEnds + 2 * std::min(peer.cuts, 4)) peer.cut = false, ++peer.cuts;
  } else {
    peer.good = 0;
    if (++peer.bad >= kCutAfter) peer.cut = true;
  }
}

std::vector<int> Prober::Relays(int member) {
  std::vector<int> chosen;
  std::vector<std::uint8_t> zones;
  const auto hears = [&](int relay) {
    const auto& bad = here_->table.LinksOf(relay).unheard;
    return std::ranges::find(bad, member) == bad.end();
  };
  for (const bool new_zones : {true, false})
    for (int tries = 0; tries < 16 && static_cast<int>(chosen.size()) < kRelays && !ring_.empty(); ++tries) {
      const int relay = ring_[here_->random() % ring_.size()];
      const std::uint8_t zone = here_->table.Of(relay).zone;
      if (relay == member || !here_->Present(relay) || here_->peers[relay].failed || !hears(relay)) continue;
      if (std::ranges::find(chosen, relay) != chosen.end()) continue;
      if (new_zones && std::ranges::find(zones, zone) != zones.end()) continue;
      chosen.push_back(relay), zones.push_back(zone);
    }
  return chosen;
}

// Repeats the ping and requests indirect probes. False: the rate limit is reached.
bool Prober::Again(int member, Series* series) {
  Message ping;
  ping.kind = Kind::kPing, ping.nonce = series->nonce;
  if (!here_->out.Send(member, ping, Outbox::kForHelp, here_->now())) return false;
  const bool helped = series->round % 2 == 0;  // every second round: extra rounds mostly add time
  for (const int relay : helped ? Relays(member) : std::vector<int>{}) {
    Message ask;
    ask.kind = Kind::kAsk, ask.nonce = series->nonce, ask.other = static_cast<std::uint16_t>(member);
    here_->out.Send(relay, std::move(ask), Outbox::kForProbes, here_->now());
  }
  ++series->round;
  return true;
}

std::vector<int> Prober::Step() {
  const Time now = here_->now();
  std::vector<int> in_vain;
  for (auto it = series_.begin(); it != series_.end();) {
    auto& [member, series] = *it;
    if (now < series.due) {
      ++it;
      continue;
    }
    const bool alive = here_->peers[member].sign >= series.begun;
    if (!alive && series.round + 1 < Rounds()) {
      series.due = now + (Again(member, &series) ? kIndirect : kMinDirect);
      ++it;
      continue;
    }
    Ended(member, series, alive);
    if (!alive) in_vain.push_back(member);
    it = series_.erase(it);
  }
  if (now >= next_at_) Next();
  return in_vain;
}

// Round-robin in an order that is shuffled each time (SWIM), except members whose datagrams arrive anyway.
void Prober::Next() {
  const Time now = here_->now();
  next_at_ = now + kEvery;
  for (std::size_t passed = 0; passed <= ring_.size(); ++passed) {
    if (at_ >= ring_.size()) {
      ring_.clear(), at_ = 0;
      for (int i = 0; i < here_->tier(); ++i)
        if (i != here_->number && here_->Present(i)) ring_.push_back(i);
      for (std::size_t i = ring_.size(); i > 1; --i) std::swap(ring_[i - 1], ring_[here_->random() % i]);
      if (ring_.empty()) return;
    }
    const int member = ring_[at_++];
    const Peer& peer = here_->peers[member];
    if (!here_->Present(member) || here_->table.Of(member).Accused() || series_.contains(member)) continue;
    if (now - peer.heard < kFresh && now - peer.answered < kFreshAnswer) continue;
    return Begin(member);
  }
}

Time Prober::DueAt() const {
  Time due = next_at_;
  for (const auto& [member, series] : series_) due = std::min(due, series.due);
  return due;
}

double Prober::ShareInVain() const {
  int known = 0, failed = 0;
  for (int i = 0; i < here_->tier(); ++i)
    if (i != here_->number && here_->Present(i)) ++known, failed += here_->peers[i].failed;
  return known == 0 ? 0 : static_cast<double>(failed) / known;
}

// Enough rounds that about one in a thousand probes of live members fails: a direct round trip fails with
// about the square of the loss, an indirect one over each of three relays with its fourth power.
int Prober::Rounds() const {
  int rounds = kRounds;
  if (lost_ > 0.15) rounds += 2;
  if (lost_ > 0.3) rounds += 1;
  if (lost_ > 0.45) rounds += 2;
  if (ShareInVain() > 0.25) rounds += 1;
  if (ShareInVain() > 0.5) rounds += 2;
  if (here_->time.LateWithin(kSecond)) rounds += 1;
  return std::min(rounds, kMaxRounds);
}

}  // namespace lichenlug::membership
