// What owners and trials decided of a ticket: a register of several writers whose versions are causal.
//
// Each decision has a dot (who, how many of theirs) and replaces all that its writer knew. Decisions that
// did not know of one another stand side by side, and the strongest counts: a discard above all, then a
// trial that failed, a trial under way, a release, a success. So a later decision that knew the earlier one
// wins, and a discard wins over a release that did not know of it. (Dotted version vectors: Preguica et al.,
// "Brief announcement: efficient causality tracking in distributed storage systems", PODC 2012.)
//
// Guards against clocks: none is compared to find out which decision is later.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace lichenlug {

enum class Decided : std::uint8_t { kNothing, kCleared, kReleased, kOnTrial, kPutBack, kDiscarded };

class Decisions {
 public:
  // Who decides is a number made of a dispatcher and its life, so that a restarted one never uses a dot
  // twice. Merging may go over kMaxToDecide up to kMax; there the smallest numbers are let go of.
  static constexpr std::size_t kMaxToDecide = 8, kMax = 10;

  struct Dot {
    std::uint32_t by = 0;
    std::uint16_t count = 0;
    Decided what = Decided::kNothing;  // nothing: replaced
    std::uint32_t until = 0;           // Unix seconds; of a discard or a failed trial
    bool operator==(const Dot&) const = default;
  };

  // False: too many have decided of this ticket; nothing was changed.
  bool Decide(std::uint32_t by, Decided what, std::uint32_t until);
  bool Merge(const Decisions& other);  // true: something new
  void Load(const Dot& dot);           // of a register read from bytes

  // The strongest that stands at this time (Unix seconds).
  Dot Current(std::uint32_t now) const;
  const std::vector<Dot>& dots() const { return dots_; }
  bool operator==(const Decisions&) const = default;

 private:
  std::vector<Dot> dots_;  // by `by`
};

}  // namespace lichenlug
