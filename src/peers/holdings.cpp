#include "peers/holdings.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lichenlug {
namespace {

constexpr int kVersion = 1;
constexpr std::size_t kEntry = 2;
constexpr int kMostSlots = 11, kFailed = 12, kMostClasses = 4;

void Append(std::string* bytes, std::uint16_t entry) {
  *bytes += static_cast<char>(entry >> 8);
  *bytes += static_cast<char>(entry & 0xff);
}

char Head(int life, int number) { return static_cast<char>(kVersion << 6 | life << 3 | number); }

}  // namespace

Holdings::Holdings(std::uint64_t seed, int zone, int classes, HoldingsHeard* heard)
    : life_(static_cast<int>(seed % 8)), zone_(zone), classes_(classes), heard_(heard) {}

std::uint16_t Holdings::Short(std::string_view runner) {
  return static_cast<std::uint16_t>(XXH64(runner.data(), runner.size(), 0) & 0xfff);
}

void Holdings::Name(const std::string& runner, int zone) {
  const std::uint16_t id = Short(runner);
  names_[id][runner] = zone_ == kNoZone || zone < 0 ? zone_ : zone;
  const auto told = others_.find(id);
  if (told != others_.end()) heard_->Held(runner, told->second);
}

void Holdings::Forget(const std::string& runner) {
  const auto named = names_.find(Short(runner));
  if (named != names_.end() && named->second.erase(runner) > 0 && named->second.empty()) names_.erase(named);
}

// A receiver is in one zone and so hears one stream, whose datagrams it can order by their numbers.
Holdings::Stream& Holdings::StreamFor(const std::string& runner) {
  const auto named = names_.find(Short(runner));
  if (named == names_.end()) return streams_[zone_];
  const auto zone = named->second.find(runner);
  return streams_[zone == named->second.end() ? zone_ : zone->second];
}

void Holdings::Due(Time at) {
  if (due_at_ == 0 || at < due_at_) due_at_ = at;
}

void Holdings::Hold(const std::string& runner, double slots, Time now) {
  const std::uint16_t id = Short(runner);
  double& held = held_[id];
  held = std::max(0.0, held + slots);
  if (held < 0.5) held_.erase(id);
  bool& grown = StreamFor(runner).untold[id];
  grown = grown || slots > 0;
  Due(now + (slots > 0 ? 0 : kGatherEnds));
}

void Holdings::Failed(const std::string& runner, int cls, Time now) {
  if (cls < 0 || cls >= kMostClasses) return;
  StreamFor(runner).failed.push_back(static_cast<std::uint16_t>(Short(runner) << 4 | (kFailed + cls)));
  Due(now);
}

std::vector<Holdings::Datagram> Holdings::Tell(Time now) {
  std::vector<Datagram> all;
  if (due_at_ == 0 || now < due_at_) return all;
  bool more = false;
  for (auto& [zone, stream] : streams_) {
    if (stream.untold.empty() && stream.failed.empty()) continue;
    std::string bytes(1, Head(life_, stream.number));
    stream.number = (stream.number + 1) % 8;
    const auto fits = [&bytes] { return bytes.size() + kEntry <= kMostBytes; };
    for (; !stream.failed.empty() && fits(); stream.failed.pop_back()) Append(&bytes, stream.failed.back());
    for (const bool grown : {true, false})  // what matters most first
      for (auto it = stream.untold.begin(); it != stream.untold.end() && fits();) {
        if (it->second != grown) {
          ++it;
          continue;
        }
        const auto held = held_.find(it->first);
        const int slots = held == held_.end() ? 0 : static_cast<int>(std::lround(held->second));
        Append(&bytes, static_cast<std::uint16_t>(it->first << 4 | std::min(slots, kMostSlots)));
        it = stream.untold.erase(it);
      }
    more = more || !stream.untold.empty() || !stream.failed.empty();
    all.push_back({zone, std::move(bytes)});
  }
  due_at_ = more ? now : 0;
  return all;
}

std::string Holdings::Greeting() const { return {Head(life_, 0), static_cast<char>(zone_)}; }

bool Holdings::Hear(int number, std::string_view bytes, Time now, bool* greet) {
  const auto byte = [bytes](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
  *greet = false;
  if (bytes.size() < 2 || bytes.size() > kMostBytes || byte(0) >> 6 != kVersion ||
      (bytes.size() != 2 && bytes.size() % 2 == 0))
    return ++dropped_, false;
  Peer& peer = peers_[number];
  const int life = byte(0) >> 3 & 7, count = byte(0) & 7;
  if (std::exchange(peer.life, life) != life) {
    for (const auto& [id, told] : peer.told) Add(id, -told.slots);
    peer.told.clear(), peer.number = -1;
    *greet = true;
  }
  if (bytes.size() == 2) return peer.zone = byte(1), true;
  // Datagrams overtake one another by milliseconds: soon after one, a number just behind it is older news.
  if (peer.number >= 0 && now - peer.heard < kSecond / 10 && (peer.number - count + 8) % 8 < 4)
    return ++dropped_, false;
  peer.number = count, peer.heard = now;
  for (std::size_t at = 1; at < bytes.size(); at += kEntry)
    Entry(peer, number, static_cast<std::uint16_t>(byte(at) << 8 | byte(at + 1)), now);
  return true;
}

void Holdings::Entry(Peer& peer, int number, std::uint16_t entry, Time now) {
  const std::uint16_t runner = entry >> 4;
  const int said = entry & 0xf;
  if (said >= kFailed) {
    if (said - kFailed >= classes_) return void(++dropped_);
    auto& [accuser, at] = accused_[entry];
    const bool agreed = at != 0 && accuser != number && now - at < kAgree;
    accuser = number, at = now;
    const auto named = names_.find(runner);
    if (agreed && named != names_.end() && named->second.size() == 1)
      heard_->Failing(named->second.begin()->first, said - kFailed);
    return;
  }
  Told& told = peer.told[runner];
  const int more = said - std::exchange(told.slots, said);
  told.at = now;
  if (said == 0) peer.told.erase(runner);
  Add(runner, more);
}

void Holdings::Add(std::uint16_t runner, int slots) {
  if (slots == 0) return;
  const int sum = others_[runner] += slots;
  if (sum == 0) others_.erase(runner);
  const auto named = names_.find(runner);
  if (named == names_.end()) return;
  for (const auto& [name, zone] : named->second) heard_->Held(name, sum);
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
      Add(runner, -told.slots);
    }
  std::erase_if(accused_, [now](const auto& entry) { return now - entry.second.second >= kAgree; });
}

}  // namespace lichenlug
