// Replica groups: members, quorums and the transitions from one group to the next.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

inline constexpr int kMaxMembers = 64;  // per replica group

// Returns whether the replica with this identity counts towards the quorum.
using VotePredicate = std::function<bool(const std::string& replica_id)>;

// Whether the votes form a majority of the members and, in a joint group, also a majority of the next
// members. An empty group has no quorum.
bool IsQuorum(const messages::ReplicaGroup& group, const VotePredicate& vote);

bool IsJoint(const messages::ReplicaGroup& group);

// Members and next members without duplicates. A member that moves to another address is listed with both
// addresses.
std::vector<messages::ReplicaIdentity> AllMembers(const messages::ReplicaGroup& group);

// At least one member, at most kMaxMembers, no empty and no duplicate identities.
bool IsValidMembership(const std::vector<messages::ReplicaIdentity>& members);
bool IsValidGroup(const messages::ReplicaGroup& group);

// Whether the group is not joint and consists of exactly these replicas at these addresses.
bool ConsistsOf(const messages::ReplicaGroup& group, const std::vector<messages::ReplicaIdentity>& members);

messages::ReplicaGroup FoundingGroup(const std::vector<messages::ReplicaIdentity>& members);
messages::ReplicaGroup JointGroup(const messages::ReplicaGroup& group,
                                  const std::vector<messages::ReplicaIdentity>& next_members);
messages::ReplicaGroup FinalGroup(const messages::ReplicaGroup& joint);

}  // namespace lichenlug::consensus
