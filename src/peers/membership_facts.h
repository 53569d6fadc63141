// What is known of one member of a tier, and how two who know something of it come to know the same.
//
// Guards against views that depend on who told whom first: facts merge in any order, any number of times,
// with the same result (a join of semilattices, as in M. Shapiro et al., "Conflict-free Replicated Data
// Types", 2011). The epoch decides first; within one epoch the sets are joined, and what bounds them keeps
// the join associative.
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>
#include <vector>

namespace lichenlug::membership {

inline constexpr int kMaxTier = 4096;  // members that a configuration names
inline constexpr std::uint8_t kAnyZone = 255;
inline constexpr std::uint64_t kMaxLife = (std::uint64_t{1} << 56) - 1;  // microseconds: the year 4253
inline constexpr std::uint16_t kMaxIncarnation = 65535;
inline constexpr std::uint8_t kMaxRound = 255;

// What an accusation is worth. Weak: its author has reason to doubt itself. Refused: the address itself said
// that nobody listens there.
enum class Weight : std::uint8_t { kWeak, kSilent, kRefused };

struct Accuser {
  std::uint16_t number = 0;
  std::uint8_t zone = kAnyZone;
  Weight weight = Weight::kWeak;
  auto operator<=>(const Accuser&) const = default;
};

struct Fact {
  static constexpr int kMaxPerZone = 2, kMaxZones = 4;  // accusers kept

  std::uint64_t life = 0;         // 0: never heard of
  bool left = false;              // final within a life
  std::uint16_t incarnation = 0;  // the member's own objections
  std::uint8_t round = 0;         // objections by witnesses who hear it, within an incarnation
  bool dead = false;
  std::uint8_t zone = kAnyZone;
  std::vector<Accuser> accusers;  // by number; of this epoch alone

  auto Epoch() const { return std::tuple(life, left, incarnation, round); }
  bool Accused() const { return !accusers.empty() || dead; }
  bool operator==(const Fact&) const = default;
};

// Puts what was told into what is known. True: that has changed.
bool Merge(Fact* known, const Fact& told);

// The members that one observer does not hear. Only the observer itself writes it.
struct BadLinks {
  static constexpr std::size_t kMax = 8;  // those of the lowest numbers

  std::uint64_t life = 0;
  std::uint16_t version = 0;
  std::vector<std::uint16_t> unheard;  // by number

  bool operator==(const BadLinks&) const = default;
};

bool Merge(BadLinks* known, const BadLinks& told);

}  // namespace lichenlug::membership
