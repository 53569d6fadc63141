// The live dispatchers as the follower needs them: by zone, in an order for relays, and one after the other
// for polls.
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

  std::vector<std::string> Zones() const;  // sorted, each once
  std::vector<std::string> AddressesIn(std::string_view zone) const;
  // The dispatcher that relays this revision in its zone, on the given try; empty where there is none. Each
  // revision has another order, so that the work is spread.
  std::string Relay(std::string_view zone, std::uint64_t revision, std::size_t try_number) const;
  bool Contains(std::string_view address) const;

  // Whom to poll next, in turn: one that counts for the quorum, then any. Empty where there is none.
  std::string NextToPoll();
  std::uint64_t RandomBelow(std::uint64_t bound);

 private:
  std::string NextOf(const std::vector<std::string>& addresses, std::size_t* turn);

  std::mt19937_64 random_;
  std::vector<Member> live_;  // by name
  std::vector<std::string> all_;
  std::vector<std::string> quorum_;
  std::size_t turn_ = 0, quorum_turn_ = 0;
  bool quorum_next_ = true;
};

}  // namespace lichenlug::configuration
