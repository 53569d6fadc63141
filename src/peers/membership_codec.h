// Encoding of the membership messages.
//
// A body is parsed and validated as a whole before any of it is used; anything that deviates from this format
// is rejected.
//
// One byte: version in the upper four bits, kind in the lower. Then a nonce (2 bytes), another member (2
// bytes, 65535: none), a byte of flags, if flagged the index (1 byte) and hash (4 bytes) of a slice of the
// sender's table, and items up to the end: facts (15 bytes, and 3 per accuser) and bad links. Numbers are
// little-endian. One zero byte of padding may follow (extension.h).
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

inline constexpr std::uint16_t kNoMember = 65535;

enum class Kind : std::uint8_t {
  kPing = 1,         // `other`: the member that requested the probe, which is to be answered, too
  kAck = 2,          // `nonce` and `other` as in the ping
  kPingRequest = 3,  // requests an indirect probe of `other`
  kIndirectAck = 4,  // `other` acknowledged the indirect probe with this nonce
  kGossip = 5,
};

struct Slice {
  std::uint8_t index = 0;
  std::uint32_t hash = 0;
};

struct Message {
  Kind kind = Kind::kGossip;
  std::uint16_t nonce = 0;
  std::uint16_t other = kNoMember;
  std::optional<Slice> slice;
  std::vector<std::pair<std::uint16_t, Fact>> facts;      // by member
  std::vector<std::pair<std::uint16_t, BadLinks>> links;  // by observer
};

// Facts and links that don't fit are left out.
std::string EncodeMessage(const Message& message);
std::size_t SizeOf(const Fact& fact);
std::size_t SizeOf(const BadLinks& links);
inline constexpr std::size_t kMaxHeaderBytes = 11;

// `tier`: number of members; a message with a higher member number is malformed.
std::optional<Message> DecodeMessage(std::string_view body, int tier);

}  // namespace lichenlug::membership
