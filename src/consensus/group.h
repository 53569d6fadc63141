// Replica groups: who belongs to one, what a quorum of one is, and the steps from one to the next.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

inline constexpr int kMaxMembers = 64;  // of a replica group

// Says whether a replica, by its identity, counts.
using Vote = std::function<bool(const std::string& replica_id)>;

// A majority of the members; in a joint group, also a majority of the next members. Never in an empty group.
bool IsQuorum(const messages::ReplicaGroup& group, const Vote& vote);

bool IsJoint(const messages::ReplicaGroup& group);

// Members and next members, each once; one that moves to another address is there with both.
std::vector<messages::ReplicaIdentity> AllMembers(const messages::ReplicaGroup& group);

// At least one member, at most kMaxMembers, none without an identity or named twice.
bool IsValidMembership(const std::vector<messages::ReplicaIdentity>& members);
bool IsValidGroup(const messages::ReplicaGroup& group);

// Whether the group is not joint and consists of exactly these replicas, at these addresses.
bool ConsistsOf(const messages::ReplicaGroup& group, const std::vector<messages::ReplicaIdentity>& members);

messages::ReplicaGroup FoundingGroup(const std::vector<messages::ReplicaIdentity>& members);
messages::ReplicaGroup JointGroup(const messages::ReplicaGroup& group,
                                  const std::vector<messages::ReplicaIdentity>& next_members);
messages::ReplicaGroup FinalGroup(const messages::ReplicaGroup& joint);

}  // namespace lichenlug::consensus
