#include "node/group_planner.h"

#include <algorithm>

#include "consensus/group.h"

namespace lichenlug::node {

namespace {

using consensus::IsJoint;
using Identities = std::vector<messages::ReplicaIdentity>;

// The smallest number of voters that survives the loss of `tolerated` of them.
std::size_t MinVoters(int tolerated) { return 2 * static_cast<std::size_t>(tolerated) + 1; }

bool MayReplicate(const Member& member) { return member.counts_for_quorum && !member.replica_id.empty(); }

messages::ReplicaIdentity IdentityOf(const Member& member) {
  messages::ReplicaIdentity identity;
  identity.set_replica_id(member.replica_id);
  identity.set_address(member.address);
  identity.set_name(member.name);
  return identity;
}

bool Contains(const Identities& identities, const std::string& replica_id) {
  return std::any_of(identities.begin(), identities.end(),
                     [&](const auto& identity) { return identity.replica_id() == replica_id; });
}

const Member* FindLive(const std::vector<Member>& live, const std::string& replica_id) {
  const auto found = std::find_if(live.begin(), live.end(),
                                  [&](const Member& member) { return member.replica_id == replica_id; });
  return found == live.end() ? nullptr : &*found;
}

// The same machine is live with another store, so the data of the older identity is lost.
bool WasReplaced(const std::vector<Member>& live, const messages::ReplicaIdentity& identity) {
  return std::any_of(live.begin(), live.end(), [&](const Member& member) {
    const bool same_machine =
        member.address == identity.address() || (!identity.name().empty() && member.name == identity.name());
    return MayReplicate(member) && same_machine && member.replica_id != identity.replica_id();
  });
}

}  // namespace

std::optional<Identities> PlanGroup(const messages::ReplicaGroup& present, const std::vector<Member>& live,
                                    int tolerated, AbsentMembers absent_members) {
  Identities wanted;
  Identities absent;
  for (const auto& identity : present.members()) {
    if (FindLive(live, identity.replica_id()) != nullptr)
      wanted.push_back(identity);
    else if (!WasReplaced(live, identity))
      absent.push_back(identity);
  }
  const bool keeps_absent = absent_members == AbsentMembers::kMayStart;
  if (keeps_absent) wanted.insert(wanted.end(), absent.begin(), absent.end());
  for (const Member& member : live) {
    if (!MayReplicate(member) || Contains(wanted, member.replica_id)) continue;
    if (wanted.size() < kMaxReplicas) wanted.push_back(IdentityOf(member));
  }
  const std::size_t min_voters = MinVoters(tolerated);
  for (const auto& identity : absent) {
    if (!keeps_absent && wanted.size() < min_voters) wanted.push_back(identity);
  }
  // An even number of voters enlarges the quorum without tolerating another loss.
  if (wanted.size() > min_voters && wanted.size() % 2 == 0) wanted.pop_back();
  const bool same =
      wanted.size() == static_cast<std::size_t>(present.members_size()) &&
      std::all_of(present.members().begin(), present.members().end(),
                  [&](const auto& identity) { return Contains(wanted, identity.replica_id()); });
  if (same && present.next_members().empty()) return std::nullopt;
  return wanted;
}

bool SeesMajority(const messages::ReplicaGroup& group, const std::vector<Member>& live) {
  return consensus::IsQuorum(
      group, [&](const std::string& replica_id) { return FindLive(live, replica_id) != nullptr; });
}

bool IsFaultTolerant(const messages::ReplicaGroup& group, const std::vector<Member>& live, int tolerated,
                     AbsentMembers absent_members) {
  const auto& voters = IsJoint(group) ? group.next_members() : group.members();
  if (static_cast<std::size_t>(voters.size()) >= MinVoters(tolerated)) return true;
  if (absent_members == AbsentMembers::kMayStart) return false;
  return std::none_of(live.begin(), live.end(), [&](const Member& member) {
    return MayReplicate(member) && !Contains({voters.begin(), voters.end()}, member.replica_id);
  });
}

bool CanHandOverVotes(const std::vector<Member>& live, const std::string& self_name, int tolerated) {
  const auto others = std::count_if(live.begin(), live.end(), [&](const Member& member) {
    return MayReplicate(member) && member.name != self_name;
  });
  return static_cast<std::size_t>(others) >= MinVoters(tolerated);
}

bool IsVoter(const messages::ReplicaGroup& group, const std::string& replica_id) {
  return !replica_id.empty() && Contains(consensus::AllMembers(group), replica_id);
}

bool IsGroupKeeper(const std::vector<Member>& live, const std::string& self_name) {
  for (const Member& member : live) {  // sorted by name
    if (MayReplicate(member)) return member.name == self_name;
  }
  return false;
}

}  // namespace lichenlug::node
