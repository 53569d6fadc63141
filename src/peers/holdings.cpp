#include "peers/holdings.h"

#include <algorithm>
#include <utility>

namespace lichenlug {
namespace {

constexpr int kVersion = 1;
constexpr int kAsks = 1;  // sequence number of a greeting that requests an answer

char Head(int life, int number) { return static_cast<char>(kVersion << 6 | life << 3 | number); }

}  // namespace

Holdings::Holdings(std::uint64_t seed, const Place& place, int classes, HoldingsObserver* heard)
    : life_(static_cast<int>(seed % 8)),
      zone_(std::min(place.zone, kNoZone)),
      tier_(place.tier),
      sums_(zone_, classes, heard) {
  if (place.tier > kMaxDirect) relay_.emplace(life_, place.number, place.tier, zone_, &sums_);
}

void Holdings::Due(Time at) {
  if (due_at_ == 0 || at < due_at_) due_at_ = at;
}

// A receiver is in one zone and receives one stream only, so it can order the datagrams by sequence number.
void Holdings::Hold(const std::string& runner, double slots, Time now) {
  if (relay_) return relay_->Hold(runner, slots, now);
  const ShortId id = Sums::Short(runner);
  double& held = held_[id];
  held = std::max(0.0, held + slots);
  if (held < 0.5) held_.erase(id);
  bool& grown = streams_[sums_.ZoneOf(runner)].untold[id];
  grown = grown || slots > 0;
  Due(now + (slots > 0 ? 0 : kGatherEnds));
}

void Holdings::Failed(const std::string& runner, int cls, Time now) {
  if (relay_) return relay_->Failed(runner, cls, now);
  if (cls < 0 || cls >= kMaxClasses) return;
  streams_[sums_.ZoneOf(runner)].failed.push_back(
      static_cast<std::uint16_t>(Sums::Short(runner) << 4 | (kFailed + cls)));
  Due(now);
}

std::vector<Holdings::Datagram> Holdings::MakeDatagrams(Time now) {
  std::vector<Datagram> all;
  if (relay_) {
    for (Relay::Datagram& datagram : relay_->MakeDatagrams(now))
      all.push_back({kNoZone, std::move(datagram.bytes), datagram.peer});
    return all;
  }
  if (due_at_ == 0 || now < due_at_) return all;
  bool more = false;
  for (auto& [zone, stream] : streams_) {
    if (stream.untold.empty() && stream.failed.empty()) continue;
    std::string bytes(1, Head(life_, stream.number));
    stream.number = (stream.number + 1) % 8;
    const auto fits = [&bytes] { return bytes.size() + kEntry <= kMaxBytes; };
    for (; !stream.failed.empty() && fits(); stream.failed.pop_back())
      AppendEntry(&bytes, stream.failed.back() >> 4, stream.failed.back() & 0xf);
    for (const bool grown : {true, false})  // increases first, as they prevent overload
      for (auto it = stream.untold.begin(); it != stream.untold.end() && fits();) {
        if (it->second != grown) {
          ++it;
          continue;
        }
        const auto held = held_.find(it->first);
        AppendEntry(&bytes, it->first, held == held_.end() ? 0 : SlotsToSay(held->second));
        it = stream.untold.erase(it);
      }
    more = more || !stream.untold.empty() || !stream.failed.empty();
    all.push_back({zone, std::move(bytes)});
  }
  due_at_ = more ? now : 0;
  return all;
}

std::string Holdings::Greeting() const {
  return {Head(life_, Short() ? kAsks : 0), static_cast<char>(zone_)};
}

std::string Holdings::Answer(int peer) const {
  return {Head(life_, relay_ && ZoneOf(peer) == kUnheard ? kAsks : 0), static_cast<char>(zone_)};
}

bool Holdings::HandleMessage(int number, std::string_view bytes, Time now, bool* greet) {
  const auto byte = [bytes](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
  *greet = false;
  if (bytes.empty() || bytes.size() > kMaxBytes) return ++dropped_, false;
  const int version = byte(0) >> 6, life = byte(0) >> 3 & 7, count = byte(0) & 7;
  const bool relayed = relay_ && version != kVersion;
  const bool direct =
      version == kVersion && (bytes.size() == 2 || (bytes.size() > 2 && bytes.size() % 2 != 0));
  if (!relayed && !direct) return ++dropped_, false;
  Peer& peer = peers_[number];
  if (std::exchange(peer.life, life) != life) {
    for (const auto& [id, told] : peer.told) sums_.Add(id, -told.slots);
    peer.told.clear(), peer.number = -1;
    if (relay_) relay_->Restarted(number);
    *greet = true;
  }
  *greet = *greet || (relayed && peer.zone == kUnheard);
  if (relayed) return relay_->HandleMessage(number, bytes, now) || (++dropped_, false);
  if (bytes.size() == 2) {
    peer.zone = byte(1);
    *greet = *greet || count == kAsks;
    if (relay_) relay_->Met(number, peer.zone);
    return true;
  }
  if (IsOlder(peer.number, peer.heard, count, now)) return ++dropped_, false;
  peer.number = count, peer.heard = now;
  for (std::size_t at = 1; at < bytes.size(); at += kEntry) Entry(peer, number, EntryAt(bytes, at), now);
  return true;
}

void Holdings::Entry(Peer& peer, int number, std::uint16_t entry, Time now) {
  const ShortId runner = entry >> 4;
  const int said = entry & 0xf;
  if (said >= kFailed) {
    if (!sums_.Known(entry)) return void(++dropped_);
    if (sums_.Accuse(entry, number, now)) sums_.Failing(entry);
    return;
  }
  Told& told = peer.told[runner];
  const int more = said - std::exchange(told.slots, said);
  told.at = now;
  if (said == 0) peer.told.erase(runner);
  sums_.Add(runner, more);
}

int Holdings::ZoneOf(int peer) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() ? kUnheard : it->second.zone;
}

void Holdings::Fade(Time now) {
  for (auto& [number, peer] : peers_)
    for (auto it = peer.told.begin(); it != peer.told.end();) {
      if (now - it->second.at < kFade) {
        ++it;
        continue;
      }
      const auto [runner, told] = *it;
      it = peer.told.erase(it);
      sums_.Add(runner, -told.slots);
    }
  if (relay_) relay_->Fade(now);
  sums_.Fade(now);
}

}  // namespace lichenlug
