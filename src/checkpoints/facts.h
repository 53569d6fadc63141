// The tier's shared record of the lives of its runners: when each began, when it was last observed alive, and
// how it ended.
//
// A fact is a life, keyed by runner and start, so a death observed by ten dispatchers is one fact. Facts
// merge field by field by maximum or "or": in any order and any number of times they give the same table (a
// join-semilattice; Shapiro et al. 2011). Deaths and exposure come from the same facts, so they can't
// diverge.
//
// Properties:
// - False deaths are avoided: a drain overrides a death of the same life; a life observed after it was
//   reported lost is alive; a death seen only by dispatchers of one zone that had contact with less than half
//   of the tier isn't counted until a dispatcher of another zone, or one with a majority, has seen it.
// - The table is bounded by Bounds::lives. It keeps whole runners in the order of their hash, and of each the
//   newest Bounds::of_runner lives. Which lives are kept depends on the facts, not on their order of arrival,
//   so the bound is part of the join; a sample by hash is unbiased (bottom-k; Cohen and Kaplan 2007): its
//   exposure is cut together with its deaths, so its rates are those of the whole.
// - Facts whose life was last observed kHorizon ago or more are dropped when read or received.
//
// Memory: at most 0.7 MB. 1,000 runners with six lives each within kHorizon fit completely.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace lichenlug {

inline constexpr Time kTick = kSecond / 10;  // resolution of the times in facts
using Ticks = std::int64_t;

struct Life {
  int zone = 255, kind = 0;       // 255: unknown
  Ticks until = 0;                // last observed alive
  Ticks ended = 0;                // when its end was detected; 0: not detected
  bool planned = false;           // it ended by a drain, not a failure
  bool seen_by_majority = false;  // its end was seen by a dispatcher in contact with over half of the tier
  std::uint16_t seen_zones = 0;   // bit set of zones whose dispatchers saw its end; bit 15: zone 15 and above

  bool operator==(const Life&) const = default;
  bool Died() const { return ended > 0 && until <= ended && !planned; }
  bool IsConfirmedDeath() const {
    return Died() && (seen_by_majority || (seen_zones & (seen_zones - 1)) != 0);
  }
};

struct LifeKey {
  std::uint32_t runner = 0;  // the lowest bits of the xxHash of its id
  Ticks start = 0;
  auto operator<=>(const LifeKey&) const = default;
};

using Lives = std::map<LifeKey, Life>;

class Facts {
 public:
  struct Bounds {
    std::size_t lives = 6144, of_runner = 256;
  };
  static constexpr Time kHalfLife = 3600 * kSecond, kHorizon = 4 * kHalfLife;

  static std::uint32_t RunnerHash(std::string_view runner);

  Facts() = default;
  explicit Facts(const Bounds& bounds) : bounds_(bounds) {}

  void Join(const LifeKey& key, const Life& other);
  void Join(const Facts& other);
  void DropExpired(Time now);  // drops what is older than the horizon

  const Lives& lives() const { return lives_; }
  const Life* NewestLife(std::uint32_t runner, Ticks* start) const;
  std::uint64_t dropped() const { return dropped_; }
  int UnconfirmedDeaths() const;  // deaths not counted yet, as only one zone has seen them

  // Whether the life is plausible: it doesn't lie in the future and didn't end before it began.
  static bool IsPlausible(const LifeKey& key, const Life& life, Time now);

 private:
  void EnforceBounds(std::uint32_t runner);
  void LowerCutoff(std::uint64_t cutoff);

  Bounds bounds_;
  Lives lives_;
  // Runners whose hash is at or above this were dropped. It only falls: otherwise a runner that arrives after
  // a larger one was dropped could fit in one order of arrival and not in another. It is reset when less than
  // half of the table is in use.
  std::uint64_t hash_cutoff_ = kNoCutoff;
  static constexpr std::uint64_t kNoCutoff = std::uint64_t{1} << 32;
  std::uint64_t dropped_ = 0;
};

// Serialized lives, kLifeBytes each.
inline constexpr std::size_t kLifeBytes = 22;
void AppendLife(std::string* bytes, const LifeKey& key, const Life& life);
// Returns false if the bytes are malformed.
bool ReadLife(std::string_view bytes, LifeKey* key, Life* life);

}  // namespace lichenlug
