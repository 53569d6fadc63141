#include "consensus/group.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lichenlug::consensus {
namespace {

using Members = google::protobuf::RepeatedPtrField<messages::ReplicaIdentity>;

bool HasMajority(const Members& members, const VotePredicate& vote) {
  const auto votes = std::count_if(members.begin(), members.end(),
                                   [&](const auto& member) { return vote(member.replica_id()); });
  return votes > members.size() / 2;
}

std::set<std::string> Identities(const auto& members) {
  std::set<std::string> identities;
  for (const auto& member : members) identities.insert(member.replica_id());
  return identities;
}

std::set<std::pair<std::string, std::string>> IdentitiesWithAddresses(const auto& members) {
  std::set<std::pair<std::string, std::string>> entries;
  for (const auto& member : members) entries.emplace(member.replica_id(), member.address());
  return entries;
}

}  // namespace

bool IsQuorum(const messages::ReplicaGroup& group, const VotePredicate& vote) {
  return HasMajority(group.members(), vote) && (!IsJoint(group) || HasMajority(group.next_members(), vote));
}

bool IsJoint(const messages::ReplicaGroup& group) { return group.next_members_size() > 0; }

std::vector<messages::ReplicaIdentity> AllMembers(const messages::ReplicaGroup& group) {
  std::vector<messages::ReplicaIdentity> all(group.members().begin(), group.members().end());
  const auto entries = IdentitiesWithAddresses(group.members());
  for (const auto& member : group.next_members()) {
    if (!entries.contains({member.replica_id(), member.address()})) all.push_back(member);
  }
  return all;
}

bool IsValidMembership(const std::vector<messages::ReplicaIdentity>& members) {
  const auto identities = Identities(members);
  return !members.empty() && members.size() <= kMaxMembers && identities.size() == members.size() &&
         !identities.contains("");
}

bool IsValidGroup(const messages::ReplicaGroup& group) {
  const auto valid = [](const Members& members) {
    return IsValidMembership({members.begin(), members.end()});
  };
  return valid(group.members()) && (!IsJoint(group) || valid(group.next_members()));
}

bool ConsistsOf(const messages::ReplicaGroup& group, const std::vector<messages::ReplicaIdentity>& members) {
  return !IsJoint(group) && IdentitiesWithAddresses(group.members()) == IdentitiesWithAddresses(members);
}

messages::ReplicaGroup FoundingGroup(const std::vector<messages::ReplicaIdentity>& members) {
  messages::ReplicaGroup group;
  group.set_version(1);
  group.mutable_members()->Assign(members.begin(), members.end());
  return group;
}

messages::ReplicaGroup JointGroup(const messages::ReplicaGroup& group,
                                  const std::vector<messages::ReplicaIdentity>& next_members) {
  messages::ReplicaGroup joint = group;
  joint.set_version(group.version() + 1);
  joint.mutable_next_members()->Assign(next_members.begin(), next_members.end());
  return joint;
}

messages::ReplicaGroup FinalGroup(const messages::ReplicaGroup& joint) {
  messages::ReplicaGroup group;
  group.set_version(joint.version() + 1);
  *group.mutable_members() = joint.next_members();
  return group;
}

}  // namespace lichenlug::consensus
