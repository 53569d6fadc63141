// A 64-bit hash with the same result in every build: FNV-1a with a finalizer.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace lichenlug::registry {

constexpr std::uint64_t MixBits(std::uint64_t bits) {  // the finalizer of SplitMix64
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9u;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebu;
  return bits ^ (bits >> 31);
}

// Hashes the parts in order; the boundaries between them are part of the hash.
constexpr std::uint64_t HashOf(std::initializer_list<std::string_view> parts) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  const auto add = [&hash](unsigned char byte) { hash = (hash ^ byte) * 0x100000001b3u; };
  for (const std::string_view part : parts) {
    for (const char letter : part) add(static_cast<unsigned char>(letter));
    add(0);
  }
  return MixBits(hash);
}

}  // namespace lichenlug::registry
