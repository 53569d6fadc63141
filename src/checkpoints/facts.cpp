#define XXH_INLINE_ALL
#include "checkpoints/facts.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace lichenlug {
namespace {

void Append(std::string* bytes, std::uint64_t value, int count) {
  for (int i = 0; i < count; ++i) *bytes += static_cast<char>(value >> (8 * i) & 0xff);
}

std::uint64_t ReadNumber(std::string_view bytes, std::size_t* at, int count) {
  std::uint64_t value = 0;
  for (int i = 0; i < count; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[(*at)++])) << (8 * i);
  return value;
}

enum LifeFlags : std::uint8_t { kPlanned = 1, kMajority = 2 };

}  // namespace

std::uint32_t Facts::RunnerHash(std::string_view runner) {
  return static_cast<std::uint32_t>(XXH3_64bits(runner.data(), runner.size()));
}

void Facts::Join(const LifeKey& key, const Life& other) {
  if (key.runner >= hash_cutoff_) {
    ++dropped_;
    return;
  }
  auto [at, fresh] = lives_.try_emplace(key, other);
  if (fresh) return EnforceBounds(key.runner);
  Life& life = at->second;
  // Conflicting zones or kinds for one life mean that one is wrong; the smaller zone is never "unknown"
  // (255).
  life.zone = std::min(life.zone, other.zone), life.kind = std::max(life.kind, other.kind);
  life.until = std::max(life.until, other.until), life.ended = std::max(life.ended, other.ended);
  life.planned |= other.planned, life.seen_by_majority |= other.seen_by_majority,
      life.seen_zones |= other.seen_zones;
}

void Facts::Join(const Facts& other) {
  for (const auto& [key, life] : other.lives_) Join(key, life);
  if (other.hash_cutoff_ < hash_cutoff_) LowerCutoff(other.hash_cutoff_);
}

void Facts::EnforceBounds(std::uint32_t runner) {
  const auto first = lives_.lower_bound({runner, 0});
  auto own = static_cast<std::size_t>(
      std::distance(first, lives_.lower_bound({runner, std::numeric_limits<Ticks>::max()})));
  if (own > bounds_.of_runner) lives_.erase(first), ++dropped_;
  if (lives_.size() > bounds_.lives) LowerCutoff(lives_.rbegin()->first.runner);
}

void Facts::LowerCutoff(std::uint64_t cutoff) {
  hash_cutoff_ = cutoff;
  const auto from = lives_.lower_bound({static_cast<std::uint32_t>(cutoff), 0});
  dropped_ += static_cast<std::uint64_t>(std::distance(from, lives_.end()));
  lives_.erase(from, lives_.end());
}

void Facts::DropExpired(Time now) {
  const Ticks oldest = (now - kHorizon) / kTick;
  std::erase_if(lives_, [&](const auto& it) { return it.second.until < oldest; });
  if (lives_.size() < bounds_.lives / 2) hash_cutoff_ = kNoCutoff;
}

const Life* Facts::NewestLife(std::uint32_t runner, Ticks* start) const {
  auto at = lives_.lower_bound({runner, std::numeric_limits<Ticks>::max()});
  if (at == lives_.begin() || (--at)->first.runner != runner) return nullptr;
  *start = at->first.start;
  return &at->second;
}

int Facts::UnconfirmedDeaths() const {
  return static_cast<int>(std::ranges::count_if(
      lives_, [](const auto& it) { return it.second.Died() && !it.second.IsConfirmedDeath(); }));
}

bool Facts::IsPlausible(const LifeKey& key, const Life& life, Time now) {
  const Ticks latest = now / kTick + 100;  // clocks within a site differ by less than ten seconds
  return key.start > 0 && life.until >= key.start && life.until <= latest && life.ended <= latest &&
         (life.ended == 0 || life.ended >= key.start);
}

void AppendLife(std::string* bytes, const LifeKey& key, const Life& life) {
  constexpr Ticks kMax = 0xffffffff;
  Append(bytes, key.runner, 4);
  Append(bytes, static_cast<std::uint64_t>(key.start), 5);
  Append(bytes, static_cast<std::uint64_t>(std::clamp<Ticks>(life.until - key.start, 0, kMax)), 4);
  Append(bytes,
         life.ended == 0 ? 0
                         : static_cast<std::uint64_t>(std::clamp<Ticks>(life.ended - key.start + 1, 1, kMax)),
         4);
  Append(bytes, static_cast<std::uint64_t>(life.zone), 1);
  Append(bytes, static_cast<std::uint64_t>(life.kind), 1);
  Append(bytes, life.seen_zones, 2);
  Append(bytes, (life.planned ? kPlanned : 0) | (life.seen_by_majority ? kMajority : 0), 1);
}

bool ReadLife(std::string_view bytes, LifeKey* key, Life* life) {
  if (bytes.size() < kLifeBytes) return false;
  std::size_t at = 0;
  key->runner = static_cast<std::uint32_t>(ReadNumber(bytes, &at, 4));
  key->start = static_cast<Ticks>(ReadNumber(bytes, &at, 5));
  life->until = key->start + static_cast<Ticks>(ReadNumber(bytes, &at, 4));
  const auto ended = static_cast<Ticks>(ReadNumber(bytes, &at, 4));
  life->ended = ended == 0 ? 0 : key->start + ended - 1;
  life->zone = static_cast<int>(ReadNumber(bytes, &at, 1));
  life->kind = static_cast<int>(ReadNumber(bytes, &at, 1));
  life->seen_zones = static_cast<std::uint16_t>(ReadNumber(bytes, &at, 2));
  const std::uint64_t flags = ReadNumber(bytes, &at, 1);
  life->planned = (flags & kPlanned) != 0, life->seen_by_majority = (flags & kMajority) != 0;
  return flags <= (kPlanned | kMajority);
}

}  // namespace lichenlug
