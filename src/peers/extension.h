// The way for further facts beside the datagrams of holdings.h and relay.h, whose two version bits are used
// up.
//
// A datagram of an extension has an even number of bytes, and a head byte of version 0 (members, relay.h),
// the sender's life in three bits as there, and a kind of 1 to 7 where those datagrams have a 0. Programs of
// the version before take it for members told by a relay, find that its length cannot be, and drop it: in a
// small tier before they look at it at all, in a large one after they have read the life, which is the one
// they know.
//
// Guards against a datagram that an older program half understands: every one made here has the length that
// it drops, whatever its body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/tier.h"

namespace lichenlug::extension {

enum class Kind : std::uint8_t { kMembership = 1, kDeaths = 2, kJobs = 3 };  // 4 to 7: not used yet

struct Read {
  Kind kind;
  std::string_view body;  // one zero byte may stand behind what was made
};

// `life`: 0 to 7, the one that Holdings says. `body`: 1 to PeerProtocol::kMaxBody bytes.
inline std::string Make(int life, Kind kind, std::string_view body) {
  std::string bytes(1, static_cast<char>((life & 7) << 3 | static_cast<int>(kind)));
  bytes += body;
  if (bytes.size() % 2 != 0) bytes += '\0';
  return bytes;
}

// Nothing: it is no extension's datagram.
inline std::optional<Read> Take(std::string_view bytes) {
  if (bytes.size() < 2 || bytes.size() % 2 != 0) return std::nullopt;
  const auto head = static_cast<std::uint8_t>(bytes[0]);
  const int kind = head & 7;
  if (head >> 6 != 0 || kind < 1 || kind > 7) return std::nullopt;
  return Read{static_cast<Kind>(kind), bytes.substr(1)};
}

}  // namespace lichenlug::extension
