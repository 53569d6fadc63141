// Records of members: which are valid, and which of two is newer.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/member.h"
#include "messages/generated/membership.pb.h"

namespace lichenlug::membership_ring {

using messages::MemberRecord;

inline constexpr int kMaxAccusers = 2;  // as many as it takes to declare a member dead

// Position of a name on the ring; the same on every machine.
std::uint64_t HashName(std::string_view name);

// Over all fields but the state and the accusers: equal hashes mean equal knowledge of a live member.
std::uint64_t HashRecord(const MemberRecord& record);

// Bounded fields, an address, a known state. What is not valid is ignored.
bool IsValid(const MemberRecord& record);

inline bool IsLive(messages::MemberState state) {
  return state == messages::MEMBER_ALIVE || state == messages::MEMBER_SUSPECT;
}
inline bool IsLive(const MemberRecord& record) { return IsLive(record.state()); }

// By incarnation, then version, then the other fields but the state, so that all members choose alike.
std::strong_ordering CompareKnowledge(const MemberRecord& left, const MemberRecord& right);

// Adds an accuser unless it is there already or there are enough. True if it was added.
bool AddAccuser(MemberRecord* record, const std::string& name);
bool HasAccuser(const MemberRecord& record, const std::string& name);

Member ToMember(const MemberRecord& record);
MemberRecord ToRecord(const Member& member);

}  // namespace lichenlug::membership_ring
