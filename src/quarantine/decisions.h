// The decisions of owners and trials on a ticket: a multi-writer register with causal versions.
//
// Each decision has a dot (writer, sequence number) and replaces all decisions that its writer knew.
// Concurrent decisions are kept side by side, and the strongest counts: a discard first, then a failed trial,
// a trial in progress, a release, a success. So a later decision that knew of the earlier one wins, and a
// discard wins over a concurrent release. (Dotted version vectors: Preguica et al., "Brief announcement:
// efficient causality tracking in distributed storage systems", PODC 2012.)
//
// No clocks are compared to order decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace lichenlug {

enum class Decision : std::uint8_t { kNothing, kCleared, kReleased, kOnTrial, kTrialFailed, kDiscarded };

class Decisions {
 public:
  // A writer is identified by a hash of a dispatcher and its life, so that a restarted dispatcher never
  // reuses a dot. Merging may exceed kMaxWriters up to kMax; beyond that the smallest writers are dropped.
  static constexpr std::size_t kMaxWriters = 8, kMax = 10;

  struct Dot {
    std::uint32_t by = 0;
    std::uint16_t count = 0;
    Decision what = Decision::kNothing;  // kNothing: replaced by a later decision
    std::uint32_t until = 0;             // Unix seconds; for a discard or a failed trial
    bool operator==(const Dot&) const = default;
  };

  // Returns false without a change if too many writers have decided on this ticket.
  bool Decide(std::uint32_t by, Decision what, std::uint32_t until);
  bool Merge(const Decisions& other);  // returns true if anything changed
  void Load(const Dot& dot);           // adds a decoded dot

  // The strongest decision in effect at this time (Unix seconds).
  Dot Current(std::uint32_t now) const;
  const std::vector<Dot>& dots() const { return dots_; }
  bool operator==(const Decisions&) const = default;

 private:
  std::vector<Dot> dots_;  // sorted by `by`
};

}  // namespace lichenlug
