// The datagrams of the membership: how they are written and read.
//
// Guards against half-read rubbish: a body is read whole before anything is made of it, and whatever is not
// exactly as written here is none.
//
// One byte: version in the upper four bits, kind in the lower. Then a nonce (2 bytes), another member (2,
// 65535: none), a byte of flags, where these say so the hash of a slice of the sender's table (1 and 4), and
// items up to the end: facts (15 bytes, 3 more an accuser) and bad links. Numbers are little-endian. One zero
// byte may stand behind (extension.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/tier.h"
#include "peers/membership_facts.h"

namespace lichenlug::membership {

inline constexpr std::uint16_t kNone = 65535;

enum class Kind : std::uint8_t {
  kPing = 1,   // `other`: the one it is asked for, who is to be answered, too
  kAck = 2,    // `nonce` as in the ping; `other`: the one it was asked for
  kAsk = 3,    // please ping `other` for me
  kHeard = 4,  // `other` has answered me with your nonce
  kNews = 5,
};

struct Slice {
  std::uint8_t index = 0;
  std::uint32_t hash = 0;
};

struct Message {
  Kind kind = Kind::kNews;
  std::uint16_t nonce = 0;
  std::uint16_t other = kNone;
  std::optional<Slice> slice;
  std::vector<std::pair<std::uint16_t, Fact>> facts;      // by member
  std::vector<std::pair<std::uint16_t, BadLinks>> links;  // by observer
};

// Facts and links that find no room are left out.
std::string Write(const Message& message);
std::size_t SizeOf(const Fact& fact);
std::size_t SizeOf(const BadLinks& links);
inline constexpr std::size_t kMaxHead = 11;

// `tier`: a number past it is malformed.
std::optional<Message> ReadMessage(std::string_view body, int tier);

}  // namespace lichenlug::membership
