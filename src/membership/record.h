// Functions on member records: validation, hashing and ordering.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/member.h"
#include "messages/generated/membership.pb.h"

namespace lichenlug::membership_ring {

using messages::MemberRecord;

inline constexpr int kMaxSuspectingMonitors = 2;  // the number needed to declare a member dead

// Position of a name on the ring; the same on every machine.
std::uint64_t HashName(std::string_view name);

// Hash of all fields except the state and the suspecting monitors: equal hashes mean that the records of a
// live member are equal.
std::uint64_t HashRecord(const MemberRecord& record);

// Checks the field lengths, the address and the state. Invalid records are ignored.
bool IsValid(const MemberRecord& record);

inline bool IsLive(messages::MemberState state) {
  return state == messages::MEMBER_ALIVE || state == messages::MEMBER_SUSPECT;
}
inline bool IsLive(const MemberRecord& record) { return IsLive(record.state()); }

// Orders by incarnation, version, and then the other fields except the state, so that all members decide
// alike.
std::strong_ordering CompareRecords(const MemberRecord& left, const MemberRecord& right);

// Adds a suspecting monitor unless it is listed already or the list is full. True if it was added.
bool AddSuspectingMonitor(MemberRecord* record, const std::string& name);
bool IsSuspectedBy(const MemberRecord& record, const std::string& name);

Member ToMember(const MemberRecord& record);
MemberRecord ToRecord(const Member& member);

}  // namespace lichenlug::membership_ring
