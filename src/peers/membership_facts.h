// The replicated state of one member of a tier, and how two versions of it are merged.
//
// The resulting view doesn't depend on the order of messages: facts merge in any order, any number of times,
// with the same result (a join semilattice, as in M. Shapiro et al., "Conflict-free Replicated Data Types",
// 2011). The higher epoch wins; within one epoch the sets are joined, and their bound keeps the join
// associative.
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>
#include <vector>

namespace lichenlug::membership {

inline constexpr int kMaxTier = 4096;  // members in a configuration
inline constexpr std::uint8_t kAnyZone = 255;
inline constexpr std::uint64_t kMaxLife = (std::uint64_t{1} << 56) - 1;  // microseconds: the year 4253
inline constexpr std::uint16_t kMaxIncarnation = 65535;
inline constexpr std::uint8_t kMaxRound = 255;

// The strength of a suspicion. Weak: the suspecting member has reason to doubt its own health. Silent: probes
// failed. Refused: the address reported that no process listens there.
enum class Weight : std::uint8_t { kWeak, kSilent, kRefused };

struct Accuser {
  std::uint16_t number = 0;
  std::uint8_t zone = kAnyZone;
  Weight weight = Weight::kWeak;
  auto operator<=>(const Accuser&) const = default;
};

struct Fact {
  static constexpr int kMaxPerZone = 2, kMaxZones = 4;  // bounds of `accusers`

  std::uint64_t life = 0;         // 0: unknown
  bool left = false;              // final within a life
  std::uint16_t incarnation = 0;  // grows with each refutation by the member itself
  std::uint8_t round = 0;         // refutations by witnesses that receive its datagrams, per incarnation
  bool dead = false;
  std::uint8_t zone = kAnyZone;
  std::vector<Accuser> accusers;  // sorted by number; of this epoch only

  auto Epoch() const { return std::tuple(life, left, incarnation, round); }
  bool IsSuspectedOrDead() const { return !accusers.empty() || dead; }
  bool operator==(const Fact&) const = default;
};

// Merges a received fact into the known one. True: the known one has changed.
bool Merge(Fact* known, const Fact& received);

// The members whose datagrams one observer doesn't receive. Written by the observer only.
struct BadLinks {
  static constexpr std::size_t kMax = 8;  // the lowest numbers are kept

  std::uint64_t life = 0;
  std::uint16_t version = 0;
  std::vector<std::uint16_t> silent;  // sorted by number

  bool operator==(const BadLinks&) const = default;
};

bool Merge(BadLinks* known, const BadLinks& received);

}  // namespace lichenlug::membership
