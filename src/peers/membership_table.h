// The membership table, the queue of changes to disseminate, and anti-entropy slice by slice.
//
// A change is piggybacked on the next few datagrams (their number grows with the logarithm of the tier size,
// after A. Das, I. Gupta, A. Motivala, "SWIM", 2002). Each ping also carries the hash of one slice, so that a
// change that got lost is found, and a slice is sent only where the two tables differ.
#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "peers/membership_codec.h"
#include "peers/membership_facts.h"

namespace lichenlug::membership {

class Table {
 public:
  static constexpr int kSliceSize = 16;  // members per slice: as many as fit in a datagram

  static constexpr int kMinTransmissions = 3;
  // With more pending changes than this, each is sent only kMinTransmissions times.
  static constexpr std::size_t kManyPending = 24;

  explicit Table(int tier);

  int tier() const { return static_cast<int>(facts_.size()); }
  const Fact& FactOf(int member) const { return facts_[member]; }
  const BadLinks& LinksOf(int observer) const { return links_[observer]; }

  // Merges a fact. True: the table has changed. `disseminate`: the change is disseminated.
  bool Put(int member, const Fact& received, bool disseminate);
  bool Put(int observer, const BadLinks& received);

  void Queue(int member);  // (re)starts dissemination of the member's fact

  // Piggybacks pending changes, least often sent first, as far as they fit. True: any were added.
  bool Fill(Message* message);
  bool HasPending() const { return !pending_.empty(); }

  int slices() const { return (tier() + kSliceSize - 1) / kSliceSize; }
  std::uint32_t HashOf(int slice) const;
  void FillSlice(int slice, Message* message) const;

 private:
  void QueueKey(int key);  // bad links have the keys from the tier size on

  int Transmissions() const;

  std::vector<Fact> facts_;
  std::vector<BadLinks> links_;
  std::vector<int> times_sent_;            // by key
  std::set<std::pair<int, int>> pending_;  // times sent, key
};

}  // namespace lichenlug::membership
