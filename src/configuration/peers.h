// The live dispatchers, grouped by zone, with an order in which they are chosen as relays and a rotation for
// polls.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/member.h"

namespace lichenlug::configuration {

class Peers {
 public:
  explicit Peers(std::uint64_t seed) : random_(seed) {}

  void Set(const std::vector<Member>& live);

  std::vector<std::string> Zones() const;  // sorted, without duplicates
  std::vector<std::string> AddressesIn(std::string_view zone) const;
  // The address of the dispatcher that relays this revision in its zone on the given attempt; empty if there
  // is none. The order differs between revisions, so that the load is spread.
  std::string SelectRelay(std::string_view zone, std::uint64_t revision, std::size_t attempt) const;
  bool Contains(std::string_view address) const;

  // The address to poll next, alternating between members that count for the quorum and all members. Empty if
  // there is none.
  std::string NextToPoll();
  std::uint64_t RandomBelow(std::uint64_t bound);

 private:
  std::string NextInRotation(const std::vector<std::string>& addresses, std::size_t* index);

  std::mt19937_64 random_;
  std::vector<Member> live_;  // by name
  std::vector<std::string> all_;
  std::vector<std::string> quorum_;
  std::size_t next_index_ = 0, quorum_next_index_ = 0;
  bool poll_quorum_next_ = true;
};

}  // namespace lichenlug::configuration
