// Which replicas a register's group should have, given who lives. Pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "messages/generated/consensus.pb.h"

namespace lichenlug::node {

inline constexpr std::size_t kMaxReplicas = 9;

// A process that has begun of late has not heard of all that live.
enum class AbsentMembers { kMayStart, kAreGone };

// The members wanted instead of the present ones; none where nothing is to change. The present members that
// live stay; a machine that is back with another store replaces its older identity; live machines that count
// for the quorum join, but for one that would make the voters even beyond 2 x `tolerated` + 1; a member that
// does not live, or says that it leaves (it tells no store any more), is dropped where 2 x `tolerated` + 1
// others remain, unless it may be about to start.
std::optional<std::vector<messages::ReplicaIdentity>> PlanGroup(const messages::ReplicaGroup& present,
                                                                const std::vector<Member>& live,
                                                                int tolerated, AbsentMembers absent_members);

// Whether a majority of the group's members (and of those it moves to) lives with its store.
bool SeesMajority(const messages::ReplicaGroup& group, const std::vector<Member>& live);

// Whether what is chosen in this group outlasts the loss of `tolerated` disks, as far as the live machines
// allow: not while the group is smaller than that takes and a machine has yet to join it, or may start.
bool IsGrown(const messages::ReplicaGroup& group, const std::vector<Member>& live, int tolerated,
             AbsentMembers absent_members);

// Whether enough others live that count for the quorum and have a store, so that this one can leave its
// votes.
bool CanLeaveVotes(const std::vector<Member>& live, const std::string& self_name, int tolerated);

// Whether the group counts on this replica, also while it moves to another one.
bool IsVoter(const messages::ReplicaGroup& group, const std::string& replica_id);

// Whether this dispatcher is the one to make the change: the first live member with a store, by name.
bool IsGroupKeeper(const std::vector<Member>& live, const std::string& self_name);

}  // namespace lichenlug::node
