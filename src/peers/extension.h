// Envelope for additional protocols beside the datagrams of holdings.h and relay.h, whose two version bits
// are used up.
//
// An extension datagram has an even number of bytes. Its header byte has version 0 (the member list of
// relay.h), the sender's life tag in three bits as there, and a kind of 1 to 7 where those datagrams have a
// 0. Programs of the previous version take it for a member list, find that its length is invalid and drop it:
// in a small tier before they parse anything, in a large one after they have read the life tag, which equals
// the one they know.
//
// An older program therefore never parses part of an extension datagram: each one made here has a length that
// it drops, whatever the body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/tier.h"

namespace lichenlug::extension {

enum class Kind : std::uint8_t { kMembership = 1, kFailures = 2, kJobs = 3 };  // 4 to 7: unassigned

struct Decoded {
  Kind kind;
  std::string_view body;  // may end with one zero byte of padding
};

// `life`: 0 to 7, the life tag that Holdings sends. `body`: 1 to PeerProtocol::kMaxBody bytes.
inline std::string Encode(int life, Kind kind, std::string_view body) {
  std::string bytes(1, static_cast<char>((life & 7) << 3 | static_cast<int>(kind)));
  bytes += body;
  if (bytes.size() % 2 != 0) bytes += '\0';
  return bytes;
}

// nullopt: not an extension datagram.
inline std::optional<Decoded> Decode(std::string_view bytes) {
  if (bytes.size() < 2 || bytes.size() % 2 != 0) return std::nullopt;
  const auto header = static_cast<std::uint8_t>(bytes[0]);
  const int kind = header & 7;
  if (header >> 6 != 0 || kind < 1 || kind > 7) return std::nullopt;
  return Decoded{static_cast<Kind>(kind), bytes.substr(1)};
}

}  // namespace lichenlug::extension
