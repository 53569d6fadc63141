// Hash functions with the same results on every machine and in every build. Not cryptographic.
#pragma once

#include <cstdint>
#include <string_view>

namespace lichenlug {

// The finalizer of splitmix64: diffuses every input bit over the whole result.
inline std::uint64_t Mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// FNV-1a, followed by Mix().
inline std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) hash = (hash ^ c) * 0x100000001b3ULL;
  return Mix(hash);
}

}  // namespace lichenlug
