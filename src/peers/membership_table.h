// All that is known of a tier's members, what of it others are still to be told, and the comparison of whole
// tables slice by slice.
//
// Guards against news that get lost, and against tables sent where nothing differs: a change rides on the
// next few datagrams (as many as grow with the logarithm of the tier, after A. Das, I. Gupta, A. Motivala,
// "SWIM", 2002), and each ping carries the hash of one slice, which is sent only where it differs.
#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "peers/membership_facts.h"
#include "peers/membership_words.h"

namespace lichenlug::membership {

class Table {
 public:
  static constexpr int kSlice = 16;  // members: as many as a datagram holds

  static constexpr int kMinTellings = 3;
  static constexpr std::size_t kMany = 24;  // to be told at once: each is told less often

  explicit Table(int tier);

  int tier() const { return static_cast<int>(facts_.size()); }
  const Fact& Of(int member) const { return facts_[member]; }
  const BadLinks& LinksOf(int observer) const { return links_[observer]; }

  // True: it has changed what is known. `news`: it is told on.
  bool Put(int member, const Fact& told, bool news);
  bool Put(int observer, const BadLinks& told);

  void Queue(int member);  // to be told (again)

  // Adds what is to be told, newest first, as far as it finds room. True: there was something.
  bool Fill(Message* message);
  bool HasNews() const { return !pending_.empty(); }

  int slices() const { return (tier() + kSlice - 1) / kSlice; }
  std::uint32_t HashOf(int slice) const;
  void FillSlice(int slice, Message* message) const;

 private:
  void QueueKey(int key);  // links: from the tier's size on

  int Tellings() const;

  std::vector<Fact> facts_;
  std::vector<BadLinks> links_;
  std::vector<int> told_;                  // times, by key
  std::set<std::pair<int, int>> pending_;  // times told, key
};

}  // namespace lichenlug::membership
