// Pseudo-random number generator (splitmix64), deterministic for a seed on every machine.
#pragma once

#include <cstdint>

namespace lichenlug::membership_ring {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ull;
    std::uint64_t x = state_;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
  }
  std::uint64_t Below(std::uint64_t limit) { return limit == 0 ? 0 : Next() % limit; }

 private:
  std::uint64_t state_;
};

}  // namespace lichenlug::membership_ring
