// Computes which replicas a register's group should have, given the live members. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "messages/generated/consensus.pb.h"

namespace lichenlug::node {

inline constexpr std::size_t kMaxReplicas = 9;

// How to treat members that are not live: a recently started process doesn't know all live members yet, so
// the absent ones may still start.
enum class AbsentMembers { kMayStart, kAreGone };

// The members that should replace the present ones; nullopt if nothing is to change. Present members that are
// live stay; a machine that returns with another store replaces its older identity; live machines that count
// for the quorum join, except one that would make the number of voters even beyond 2 x `tolerated` + 1; a
// member that is not live, or is leaving (it no longer announces a store), is dropped if 2 x `tolerated` + 1
// others remain, unless it may be about to start.
std::optional<std::vector<messages::ReplicaIdentity>> PlanGroup(const messages::ReplicaGroup& present,
                                                                const std::vector<Member>& live,
                                                                int tolerated, AbsentMembers absent_members);

// Whether a majority of the group's members (and, during a move, also of the next members) is live with its
// store.
bool SeesMajority(const messages::ReplicaGroup& group, const std::vector<Member>& live);

// Whether a value chosen in this group survives the loss of `tolerated` disks, as far as the live machines
// allow: false while the group is smaller than required and a machine has yet to join it, or may start.
bool IsFaultTolerant(const messages::ReplicaGroup& group, const std::vector<Member>& live, int tolerated,
                     AbsentMembers absent_members);

// Whether enough other live members count for the quorum and have a store, so that this one can hand its
// votes over.
bool CanHandOverVotes(const std::vector<Member>& live, const std::string& self_name, int tolerated);

// Whether this replica is a voter of the group, or of the next group during a move.
bool IsVoter(const messages::ReplicaGroup& group, const std::string& replica_id);

// Whether this dispatcher is the one that changes groups: the first live member with a store, by name.
bool IsGroupKeeper(const std::vector<Member>& live, const std::string& self_name);

}  // namespace lichenlug::node
