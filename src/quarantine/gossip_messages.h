// Message types and head byte of the bodies described in gossip.h.
#pragma once

#include <cstdint>
#include <string>

namespace lichenlug::gossip_messages {

inline constexpr int kFormat = 1;
enum MessageType : std::uint8_t {
  kTickets = 1,
  kTicketsToAcknowledge,
  kAcknowledgement,
  kChecksums,
  kGroup,
  kLeafRequest
};

inline std::string Head(MessageType type) { return std::string(1, static_cast<char>(kFormat << 4 | type)); }

}  // namespace lichenlug::gossip_messages
