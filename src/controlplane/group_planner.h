// Which replicas a register's group should have, given who lives. Pure.
#pragma once

#include <optional>
#include <vector>

#include "cluster/member.h"
#include "messages/generated/consensus.pb.h"

namespace lichenlug::controlplane {

inline constexpr std::size_t kMostReplicas = 9;

// The members wanted instead of the present ones; none where nothing is to change. The present members that
// live stay; a machine that is back with another store replaces its older identity; live machines that count
// for the quorum join; a member that does not live is dropped where 2 x `tolerated` + 1 live ones remain.
std::optional<std::vector<messages::ReplicaIdentity>> PlanGroup(const messages::ReplicaGroup& present,
                                                                const std::vector<Member>& live,
                                                                int tolerated);

// Whether this dispatcher is the one to make the change: the first live member with a store, by name.
bool IsGroupKeeper(const std::vector<Member>& live, const std::string& self_name);

}  // namespace lichenlug::controlplane
