// What a tier knows of the lives of its runners: when each began, until when it was heard, and how it ended.
//
// A fact is a life, keyed by runner and start, so a death that ten dispatchers see is one. Facts join by the
// greater or the "or" of each field: any order, any number of times, the same table (a join-semilattice;
// Shapiro et al. 2011). Deaths and exposure come from the same facts: they cannot drift apart.
//
// Guards against
// - deaths that were none: a drain wins over a death of the same life; a life heard after it was called lost
//   lives; what only dispatchers of one zone that were below half of the tier saw waits until a dispatcher of
//   another zone, or one in a whole tier, has seen it;
// - a table that grows: at most Bounds::lives. What is kept are whole runners in the order of their hash, of
//   each the newest Bounds::of_runner lives. Which those are is a matter of what is known, not of the order
//   in which it came, so the bound is part of the join; and a sample by hash is a fair one (bottom-k; Cohen
//   and Kaplan 2007): its rates are those of all, its exposure being cut with its deaths;
// - old news: what was heard last kHorizon ago or more is dropped when it is read or told.
//
// Memory: at most 0.7 MB. 1,000 runners with six lives each within kHorizon fit whole.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace lichenlug {

inline constexpr Time kTick = kSecond / 10;  // what a time among the facts is counted in
using Ticks = std::int64_t;

struct Life {
  int zone = 255, kind = 0;  // 255: not known
  Ticks until = 0;           // last heard
  Ticks ended = 0;           // when it was noticed that it had ended; 0: it was not
  bool planned = false;      // it ended by a drain: no failure
  bool whole = false;        // its end was seen by a dispatcher that had over half of the tier
  std::uint16_t seen = 0;    // zones of the dispatchers that saw its end; the last bit: 15 and above

  bool operator==(const Life&) const = default;
  bool Died() const { return ended > 0 && until <= ended && !planned; }
  bool Counts() const { return Died() && (whole || (seen & (seen - 1)) != 0); }
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

  static std::uint32_t Short(std::string_view runner);

  Facts() = default;
  explicit Facts(const Bounds& bounds) : bounds_(bounds) {}

  void Join(const LifeKey& key, const Life& said);
  void Join(const Facts& other);
  void Fade(Time now);  // drops what is older than the horizon

  const Lives& lives() const { return lives_; }
  const Life* Newest(std::uint32_t runner, Ticks* start) const;
  std::uint64_t dropped() const { return dropped_; }
  int Waiting() const;  // deaths not counted yet: seen from one place only

  // What the horizon still holds, and nothing that cannot be: from the future, or ended before it began.
  static bool Fits(const LifeKey& key, const Life& life, Time now);

 private:
  void Bound(std::uint32_t runner);
  void Lower(std::uint64_t bar);

  Bounds bounds_;
  Lives lives_;
  // Runners from here on did not fit. It only falls, or a smaller runner that comes after a larger one was
  // dropped would find room that another order had not left; it is lifted when half of the table has faded.
  std::uint64_t bar_ = kNoBar;
  static constexpr std::uint64_t kNoBar = std::uint64_t{1} << 32;
  std::uint64_t dropped_ = 0;
};

// Lives as bytes, kLifeBytes each.
inline constexpr std::size_t kLifeBytes = 22;
void AppendLife(std::string* bytes, const LifeKey& key, const Life& life);
// False: it cannot be a life.
bool ReadLife(std::string_view bytes, LifeKey* key, Life* life);

}  // namespace lichenlug
