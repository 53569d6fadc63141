#include "peers/relay.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lichenlug {
namespace {

constexpr std::size_t kMaxFailures = 32;  // pending reports; more in one interval add no information

std::string Header(int version, int life, int number) {
  return {static_cast<char>(version << 6 | life << 3 | number)};
}

}  // namespace

Relay::Relay(int life, int number, int tier, int zone, SlotTotals* totals)
    : life_(life), number_(number), tier_(tier), zone_(zone), totals_(totals), last_update_at_(-kActiveTime) {
  ranked_[zone_].push_back({Rank(number_), number_});
}

std::uint64_t Relay::Rank(int peer) { return XXH64(&peer, sizeof peer, 0); }

void Relay::AddPeer(int peer, int zone) {
  const int before = std::exchange(peers_[peer].zone, zone);
  if (before == zone) return;
  const std::pair<std::uint64_t, int> rank{Rank(peer), peer};
  std::erase(ranked_[before], rank);
  auto& ranked = ranked_[zone];
  ranked.insert(std::ranges::lower_bound(ranked, rank), rank);
}

void Relay::ResetPeer(int peer) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  for (const auto& [runner, entry] : it->second.update.entries)
    AdjustTotal(runner, -entry.slots, it->second.update.at);
  DropEntries(&it->second.update), DropEntries(&it->second.digest);
  it->second.failed_at = 0;
  active_relays_.erase(peer);
}

void Relay::DropEntries(Stream* stream) {
  for (const auto& [runner, entry] : stream->entries) totals_->Add(runner, -entry.slots);
  *stream = {};
}

void Relay::ScheduleAt(Time at) {
  if (due_at_ == 0 || at < due_at_) due_at_ = at;
}

void Relay::Hold(const std::string& runner, double slots, Time now) {
  const ShortId id = SlotTotals::ToShortId(runner);
  ZoneGroup& group = groups_[totals_->ZoneOf(runner)];
  double& used = group.in_use[id];
  const int before = ToWireSlots(used);
  used = std::max(0.0, used + slots);
  const int delta = ToWireSlots(used) - before;
  if (used < 0.5) group.in_use.erase(id);
  if (group.relay == number_) AdjustTotal(id, delta, now);
  group.pending = true;
  ScheduleAt(now);
}

void Relay::Failed(const std::string& runner, int cls, Time now) {
  if (cls < 0 || cls >= kMaxClasses) return;
  ZoneGroup& group = groups_[totals_->ZoneOf(runner)];
  if (group.failures.size() < kMaxFailures)
    group.failures.push_back(
        static_cast<std::uint16_t>(SlotTotals::ToShortId(runner) << 4 | (kFailureBase + cls)));
  ScheduleAt(now);
}

int Relay::RelayOf(int zone) const {
  const auto it = groups_.find(zone);
  return it == groups_.end() ? kUnset : it->second.relay;
}

bool Relay::LacksRelay() const {
  return std::ranges::any_of(groups_, [](const auto& group) {
    return group.second.relay == kUnset && !group.second.in_use.empty();
  });
}

// Selects the best-ranked active relay, else the best-ranked dispatcher that wasn't tried in vain recently.
// The ranking of its own zone includes this dispatcher, which is selected when all others were tried in vain.
void Relay::SelectRelay(int zone, ZoneGroup* group, Time now) {
  if (group->relay != kUnset && group->relay != number_) {
    Peer& relay = peers_[group->relay];
    const bool new_one = relay.digest.at < group->selected_at;
    if (now - std::max(group->selected_at, relay.digest.at) >= (new_one ? kNewRelayTimeout : kSilenceTimeout))
      relay.failed_at = now;
  }
  const auto is_active = [&](int peer) {
    if (peer == number_) return IsActive(now);
    const Peer& it = peers_[peer];
    return it.digest.at != 0 && now - it.digest.at < kSilenceTimeout;
  };
  const auto is_eligible = [&](int peer) {
    return peer == number_ || peers_[peer].failed_at == 0 || now - peers_[peer].failed_at >= kRelayRetryDelay;
  };
  int active = kUnset, best_eligible = kUnset;
  for (const auto& [rank, peer] : ranked_[zone]) {
    if (best_eligible == kUnset && is_eligible(peer)) best_eligible = peer;
    if (is_active(peer)) {
      active = peer;
      break;
    }
  }
  const int relay = active != kUnset ? active : best_eligible;
  const int before = std::exchange(group->relay, relay);
  if (before == relay) return;
  group->selected_at = now;
  if (before == number_)
    for (const auto& [runner, slots] : group->in_use) AdjustTotal(runner, -ToWireSlots(slots), now);
  if (relay == number_)
    for (const auto& [runner, slots] : group->in_use) AdjustTotal(runner, ToWireSlots(slots), now);
}

std::vector<Relay::Datagram> Relay::MakeDatagrams(Time now) {
  std::vector<Datagram> datagrams;
  if (due_at_ == 0 || now < due_at_) return datagrams;
  due_at_ = 0;
  for (auto& [zone, group] : groups_) SendUpdate(zone, &group, now, &datagrams);
  if (IsActive(now)) SendMemberList(now, &datagrams), SendDigests(now, &datagrams);
  return datagrams;
}

void Relay::SendUpdate(int zone, ZoneGroup* group, Time now, std::vector<Datagram>* datagrams) {
  if (group->in_use.empty() && group->failures.empty() && !group->pending) return;
  const int before = group->relay;
  if (group->pending || !group->failures.empty() || now - group->sent_at >= kUpdateInterval) {
    SelectRelay(zone, group, now);
    const int relay = group->relay;
    if (before != relay && before != kUnset && before != number_)
      datagrams->push_back({before, Header(kMemberUpdate, life_, group->sequence)});  // switched away
    if (relay == number_) {
      last_update_at_ = now;
      for (const std::uint16_t entry : group->failures)
        if (totals_->RecordFailure(entry, number_, now) && confirmed_failures_.size() < kMaxFailures)
          confirmed_failures_.push_back(entry);
    } else if (relay != kUnset) {
      std::string bytes = Header(kMemberUpdate, life_, group->sequence);
      for (const std::uint16_t entry : group->failures) AppendEntry(&bytes, entry >> 4, entry & 0xf);
      for (const auto& [runner, slots] : group->in_use)
        if (bytes.size() + kEntryBytes <= kMaxBytes)
          AppendEntry(&bytes, runner, ToWireSlots(slots));
        else
          ++dropped_entries_;
      datagrams->push_back({relay, std::move(bytes)});
    }
    group->sequence = (group->sequence + 1) % 8;
    group->failures.clear(), group->sent_at = now, group->pending = false;
  }
  if (!group->in_use.empty()) ScheduleAt(group->sent_at + kUpdateInterval);
}

void Relay::SendDigests(Time now, std::vector<Datagram>* datagrams) {
  bool changed = !confirmed_failures_.empty();
  for (const auto& [runner, sum] : zone_totals_) changed = changed || sum.changed;
  const Time at = digest_at_ + (changed ? kDigestBatchDelay : kDigestHeartbeat);
  if (now < at) return ScheduleAt(at);
  digest_at_ = now;
  std::vector<ShortId> due_runners;  // changed, or due to be repeated
  for (auto& [runner, sum] : zone_totals_) {
    if (!sum.changed && now - sum.sent_at < kFullDigestInterval) continue;
    due_runners.push_back(runner);
    sum.changed = false, sum.sent_at = now;
  }
  std::size_t next = 0;
  do {
    std::string base = Header(kDigest, life_, digest_sequence_);
    digest_sequence_ = (digest_sequence_ + 1) % 8;
    const auto fits = [&base] { return base.size() + kEntryBytes <= kMaxBytes; };
    for (; !confirmed_failures_.empty() && fits(); confirmed_failures_.pop_back())
      AppendEntry(&base, confirmed_failures_.back() >> 4, confirmed_failures_.back() & 0xf);
    const std::size_t first = base.size(), from = next;
    for (; next < due_runners.size() && fits(); ++next) AppendEntry(&base, due_runners[next], 0);
    SendDigest(base, first, {due_runners.begin() + from, due_runners.begin() + next}, now, datagrams);
  } while (next < due_runners.size() || !confirmed_failures_.empty());
  std::erase_if(zone_totals_, [now](const auto& entry) {
    const RunnerTotal& sum = entry.second;
    return sum.slots == 0 && !sum.changed && now - sum.empty_since >= kDigestTtl;
  });
  ScheduleAt(now + kDigestBatchDelay);
}

// The best active relay that ranks before this one; kUnset: none.
int Relay::BetterActiveRelay(Time now) const {
  std::pair best{Rank(number_), kUnset};
  for (const int relay : active_relays_)
    if (now - peers_.at(relay).digest.at < kSilenceTimeout) best = std::min(best, {Rank(relay), relay});
  return best.second;
}

// `runners`: those whose entries begin at byte `first` of `base`. Their sums are filled in per receiver, as
// the receiver's own part is left out.
void Relay::SendDigest(const std::string& base, std::size_t first, const std::vector<ShortId>& runners,
                       Time now, std::vector<Datagram>* datagrams) {
  const bool best = BetterActiveRelay(now) == kUnset;
  for (auto& [number, peer] : peers_) {
    if (peer.zone != zone_) {  // needs no sums of this zone, only an acknowledgement of its updates
      if (!best || peer.update.entries.empty() || now - peer.acknowledged_at < kDigestHeartbeat) continue;
      peer.acknowledged_at = now;
      datagrams->push_back({number, base.substr(0, 1)});
      continue;
    }
    datagrams->push_back({number, base});
    for (std::size_t i = 0; i < runners.size(); ++i) {
      const auto own = peer.update.entries.find(runners[i]);
      const int slots =
          zone_totals_[runners[i]].slots - (own == peer.update.entries.end() ? 0 : own->second.slots);
      datagrams->back().bytes[first + kEntryBytes * i + 1] |=
          static_cast<char>(std::clamp(slots, 0, kMaxSlots));
    }
  }
}

void Relay::SendMemberList(Time now, std::vector<Datagram>* datagrams) {
  const int relay = BetterActiveRelay(now);
  if (relay == kUnset || now - members_at_ < kDigestHeartbeat) return;
  members_at_ = now;
  std::string bytes = Header(kMemberList, life_, 0);
  const auto send = [&] {
    if (bytes.size() > 1) datagrams->push_back({relay, std::exchange(bytes, Header(kMemberList, life_, 0))});
  };
  for (const auto& [number, peer] : peers_) {
    if (peer.update.entries.empty() || peer.zone != zone_ || number == relay) continue;
    bytes += static_cast<char>(number >> 8), bytes += static_cast<char>(number & 0xff);
    if (bytes.size() + kEntryBytes > kMaxBytes) send();
  }
  send();
}

void Relay::HandleMemberList(std::string_view numbers) {
  for (std::size_t at = 0; at + kEntryBytes <= numbers.size(); at += kEntryBytes) {
    const int number = EntryAt(numbers, at);
    if (number < tier_ && number != number_ && peers_[number].zone == kUnset) AddPeer(number, zone_);
  }
}

void Relay::AdjustTotal(ShortId runner, int delta, Time now) {
  if (delta == 0) return;
  RunnerTotal& sum = zone_totals_[runner];
  sum.slots += delta, sum.changed = true;
  if (sum.slots == 0) sum.empty_since = now;
}

bool Relay::HandleMessage(int peer, std::string_view bytes, Time now) {
  if (bytes.empty() || bytes.size() > kMaxBytes || bytes.size() % kEntryBytes == 0) return false;
  const auto head = static_cast<std::uint8_t>(bytes[0]);
  if (head >> 6 == kMemberList) return HandleMemberList(bytes.substr(1)), true;
  Peer& from = peers_[peer];
  if (from.zone == kUnset) AddPeer(peer, zone_);  // assume this zone until a greeting corrects it
  Stream& stream = head >> 6 == kMemberUpdate ? from.update : from.digest;
  if (IsReordered(stream.sequence, stream.at, head & 7, now)) return false;
  stream.sequence = head & 7, stream.at = now;
  bytes.remove_prefix(1);
  DropSilentRelays(now);
  if (head >> 6 == kDigest && from.zone == zone_ && active_relays_.insert(peer).second) {
    ZoneGroup& group = groups_[zone_];  // newly active: send the slots in use to the best-ranked one
    group.pending = group.pending || !group.in_use.empty();
    ScheduleAt(now);
  }
  if (head >> 6 == kMemberUpdate)
    HandleUpdate(peer, &stream, bytes, now);
  else
    HandleDigest(&stream, bytes, now);
  return true;
}

void Relay::HandleUpdate(int peer, Stream* stream, std::string_view entries, Time now) {
  last_update_at_ = now;
  std::map<ShortId, SlotEntry> states;
  for (std::size_t at = 0; at + kEntryBytes <= entries.size(); at += kEntryBytes) {
    const std::uint16_t entry = EntryAt(entries, at);
    const int value = entry & 0xf;
    if (value < kFailureBase)
      states[entry >> 4] = {value, now};
    else if (totals_->IsKnownClass(entry) && totals_->RecordFailure(entry, peer, now) &&
             confirmed_failures_.size() < kMaxFailures) {
      confirmed_failures_.push_back(entry);
      totals_->ReportFailing(entry);
    }
  }
  std::swap(states, stream->entries);  // `states` now holds the previous entries
  const auto change = [&](ShortId runner, int delta) {
    AdjustTotal(runner, delta, now), totals_->Add(runner, delta);
  };
  for (const auto& [runner, entry] : stream->entries) {
    const auto before = states.find(runner);
    change(runner, entry.slots - (before == states.end() ? 0 : before->second.slots));
  }
  for (const auto& [runner, entry] : states)
    if (!stream->entries.contains(runner)) change(runner, -entry.slots);
  ScheduleAt(std::max(now, digest_at_ + kDigestBatchDelay));
}

// Drops the sums of relays that have become silent: their members now send updates to an active relay, which
// would count them twice.
void Relay::DropSilentRelays(Time now) {
  std::erase_if(active_relays_, [&](int relay) {
    Peer& peer = peers_[relay];
    const bool silent = now - peer.digest.at >= kSilenceTimeout;
    if (silent) DropEntries(&peer.digest);
    return silent;
  });
}

void Relay::HandleDigest(Stream* stream, std::string_view entries, Time now) {
  bool any = false;
  for (std::size_t at = 0; at + kEntryBytes <= entries.size(); at += kEntryBytes) {
    const std::uint16_t entry = EntryAt(entries, at);
    const ShortId runner = entry >> 4;
    const int value = entry & 0xf;
    if (value >= kFailureBase) {
      if (totals_->IsKnownClass(entry)) totals_->ReportFailing(entry);
      continue;
    }
    SlotEntry& stored = stream->entries[runner];
    const int delta = value - std::exchange(stored.slots, value);
    stored.at = now;
    any = any || delta != 0;
    totals_->Add(runner, delta);
  }
  if (!any && !stream->entries.empty()) totals_->Republish(stream->entries.begin()->first);
}

void Relay::ExpireEntries(Time now) {
  for (auto& [number, peer] : peers_) {
    if (!peer.update.entries.empty() && now - peer.update.at >= kUpdateTtl) {
      for (const auto& [runner, entry] : peer.update.entries) AdjustTotal(runner, -entry.slots, now);
      DropEntries(&peer.update);
    }
    for (auto it = peer.digest.entries.begin(); it != peer.digest.entries.end();) {
      if (now - it->second.at < kDigestTtl) {
        ++it;
        continue;
      }
      const auto [runner, entry] = *it;
      it = peer.digest.entries.erase(it);
      totals_->Add(runner, -entry.slots);
    }
  }
}

}  // namespace lichenlug
