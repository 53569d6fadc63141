#include "peers/holdings.h"

#include <algorithm>
#include <utility>

namespace lichenlug {
namespace {

constexpr int kBroadcastVersion = 1;
constexpr int kRequestsReply = 1;  // sequence number of a greeting that requests an answer

char Header(int life, int number) { return static_cast<char>(kBroadcastVersion << 6 | life << 3 | number); }

}  // namespace

Holdings::Holdings(std::uint64_t seed, const Identity& identity, int classes, HoldingsObserver* observer)
    : life_(static_cast<int>(seed % 8)),
      zone_(std::min(identity.zone, kNoZone)),
      tier_(identity.tier),
      totals_(zone_, classes, observer) {
  if (identity.tier > kMaxBroadcastTier)
    relay_.emplace(life_, identity.number, identity.tier, zone_, &totals_);
}

void Holdings::ScheduleAt(Time at) {
  if (due_at_ == 0 || at < due_at_) due_at_ = at;
}

// A receiver is in one zone and receives one stream only, so it can order the datagrams by sequence number.
void Holdings::Hold(const std::string& runner, double slots, Time now) {
  if (relay_) return relay_->Hold(runner, slots, now);
  const ShortId id = SlotTotals::ToShortId(runner);
  double& in_use = in_use_[id];
  in_use = std::max(0.0, in_use + slots);
  if (in_use < 0.5) in_use_.erase(id);
  bool& grown = streams_[totals_.ZoneOf(runner)].pending[id];
  grown = grown || slots > 0;
  ScheduleAt(now + (slots > 0 ? 0 : kDecreaseDelay));
}

void Holdings::Failed(const std::string& runner, int cls, Time now) {
  if (relay_) return relay_->Failed(runner, cls, now);
  if (cls < 0 || cls >= kMaxClasses) return;
  streams_[totals_.ZoneOf(runner)].failures.push_back(
      static_cast<std::uint16_t>(SlotTotals::ToShortId(runner) << 4 | (kFailureBase + cls)));
  ScheduleAt(now);
}

std::vector<Holdings::Datagram> Holdings::MakeDatagrams(Time now) {
  std::vector<Datagram> datagrams;
  if (relay_) {
    for (Relay::Datagram& datagram : relay_->MakeDatagrams(now))
      datagrams.push_back({kNoZone, std::move(datagram.bytes), datagram.peer});
    return datagrams;
  }
  if (due_at_ == 0 || now < due_at_) return datagrams;
  bool more_pending = false;
  for (auto& [zone, stream] : streams_) {
    if (stream.pending.empty() && stream.failures.empty()) continue;
    std::string bytes(1, Header(life_, stream.sequence));
    stream.sequence = (stream.sequence + 1) % 8;
    const auto fits = [&bytes] { return bytes.size() + kEntryBytes <= kMaxBytes; };
    for (; !stream.failures.empty() && fits(); stream.failures.pop_back())
      AppendEntry(&bytes, stream.failures.back() >> 4, stream.failures.back() & 0xf);
    for (const bool grown : {true, false})  // increases first, as they prevent overload
      for (auto it = stream.pending.begin(); it != stream.pending.end() && fits();) {
        if (it->second != grown) {
          ++it;
          continue;
        }
        const auto used = in_use_.find(it->first);
        AppendEntry(&bytes, it->first, used == in_use_.end() ? 0 : ToWireSlots(used->second));
        it = stream.pending.erase(it);
      }
    more_pending = more_pending || !stream.pending.empty() || !stream.failures.empty();
    datagrams.push_back({zone, std::move(bytes)});
  }
  due_at_ = more_pending ? now : 0;
  return datagrams;
}

std::string Holdings::Greeting() const {
  return {Header(life_, KnowsTooFewPeers() ? kRequestsReply : 0), static_cast<char>(zone_)};
}

std::string Holdings::GreetingReply(int peer) const {
  return {Header(life_, relay_ && ZoneOf(peer) == kUnset ? kRequestsReply : 0), static_cast<char>(zone_)};
}

bool Holdings::HandleMessage(int number, std::string_view bytes, Time now, bool* greet) {
  const auto byte = [bytes](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
  *greet = false;
  if (bytes.empty() || bytes.size() > kMaxBytes) return ++dropped_, false;
  const int version = byte(0) >> 6, life = byte(0) >> 3 & 7, sequence = byte(0) & 7;
  const bool relayed = relay_ && version != kBroadcastVersion;
  const bool direct =
      version == kBroadcastVersion && (bytes.size() == 2 || (bytes.size() > 2 && bytes.size() % 2 != 0));
  if (!relayed && !direct) return ++dropped_, false;
  Peer& peer = peers_[number];
  if (std::exchange(peer.life, life) != life) {
    for (const auto& [id, stored] : peer.entries) totals_.Add(id, -stored.slots);
    peer.entries.clear(), peer.sequence = -1;
    if (relay_) relay_->ResetPeer(number);
    *greet = true;
  }
  *greet = *greet || (relayed && peer.zone == kUnset);
  if (relayed) return relay_->HandleMessage(number, bytes, now) || (++dropped_, false);
  if (bytes.size() == 2) {
    peer.zone = byte(1);
    *greet = *greet || sequence == kRequestsReply;
    if (relay_) relay_->AddPeer(number, peer.zone);
    return true;
  }
  if (IsReordered(peer.sequence, peer.received_at, sequence, now)) return ++dropped_, false;
  peer.sequence = sequence, peer.received_at = now;
  for (std::size_t at = 1; at < bytes.size(); at += kEntryBytes)
    HandleEntry(peer, number, EntryAt(bytes, at), now);
  return true;
}

void Holdings::HandleEntry(Peer& peer, int number, std::uint16_t entry, Time now) {
  const ShortId runner = entry >> 4;
  const int value = entry & 0xf;
  if (value >= kFailureBase) {
    if (!totals_.IsKnownClass(entry)) return void(++dropped_);
    if (totals_.RecordFailure(entry, number, now)) totals_.ReportFailing(entry);
    return;
  }
  SlotEntry& stored = peer.entries[runner];
  const int delta = value - std::exchange(stored.slots, value);
  stored.at = now;
  if (value == 0) peer.entries.erase(runner);
  totals_.Add(runner, delta);
}

int Holdings::ZoneOf(int peer) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() ? kUnset : it->second.zone;
}

void Holdings::ExpireEntries(Time now) {
  for (auto& [number, peer] : peers_)
    for (auto it = peer.entries.begin(); it != peer.entries.end();) {
      if (now - it->second.at < kEntryTtl) {
        ++it;
        continue;
      }
      const auto [runner, stored] = *it;
      it = peer.entries.erase(it);
      totals_.Add(runner, -stored.slots);
    }
  if (relay_) relay_->ExpireEntries(now);
  totals_.ExpireEntries(now);
}

}  // namespace lichenlug
