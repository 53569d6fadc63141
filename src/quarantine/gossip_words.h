// Message types and head byte of the bodies described in gossip.h.
#pragma once

#include <cstdint>
#include <string>

namespace lichenlug::gossip_words {

inline constexpr int kFormat = 1;
enum What : std::uint8_t { kTickets = 1, kTicketsWanted, kArrived, kSums, kGroup, kAsked };

inline std::string Head(What what) { return std::string(1, static_cast<char>(kFormat << 4 | what)); }

}  // namespace lichenlug::gossip_words
