// Quorums and the transitions from one replica group to the next.
#include "consensus/group.h"

#include <catch2/catch.hpp>
#include <set>

namespace lichenlug::consensus {
namespace {

using Identities = std::vector<messages::ReplicaIdentity>;

Identities Members(const std::vector<std::string>& ids) {
  Identities members;
  for (const auto& id : ids) {
    messages::ReplicaIdentity member;
    member.set_replica_id(id);
    member.set_address(id + ":1");
    members.push_back(member);
  }
  return members;
}

bool Quorum(const messages::ReplicaGroup& group, const std::set<std::string>& votes) {
  return IsQuorum(group, [&](const std::string& id) { return votes.contains(id); });
}

TEST_CASE("a quorum is a majority, and an empty group has none") {
  const auto group = FoundingGroup(Members({"a", "b", "c", "d"}));
  CHECK(group.version() == 1);
  CHECK_FALSE(Quorum(group, {"a", "b"}));
  CHECK(Quorum(group, {"a", "b", "d"}));
  CHECK_FALSE(Quorum(group, {"a", "x", "y", "z"}));
  CHECK(Quorum(FoundingGroup(Members({"a"})), {"a"}));
  CHECK_FALSE(Quorum(FoundingGroup({}), {"a"}));
}

TEST_CASE("a joint group needs a majority of both") {
  const auto joint = JointGroup(FoundingGroup(Members({"a", "b", "c"})), Members({"c", "d", "e"}));
  CHECK(joint.version() == 2);
  CHECK(IsJoint(joint));
  CHECK(AllMembers(joint).size() == 5);
  CHECK_FALSE(Quorum(joint, {"a", "b", "c"}));
  CHECK_FALSE(Quorum(joint, {"c", "d", "e"}));
  CHECK_FALSE(Quorum(joint, {"a", "b", "d"}));
  CHECK(Quorum(joint, {"a", "c", "d"}));
  CHECK(Quorum(joint, {"a", "b", "d", "e"}));
}

TEST_CASE("a replica that moves to another address is contacted at both") {
  auto moved = Members({"a", "b", "c"});
  moved[2].set_address("elsewhere:1");
  const auto group = FoundingGroup(Members({"a", "b", "c"}));
  CHECK_FALSE(ConsistsOf(group, moved));
  const auto joint = JointGroup(group, moved);
  CHECK(AllMembers(joint).size() == 4);
  CHECK(Quorum(joint, {"b", "c"}));
  CHECK(ConsistsOf(FinalGroup(joint), moved));
}

TEST_CASE("the final group consists of the next members and has the next version") {
  const auto joint = JointGroup(FoundingGroup(Members({"a", "b", "c"})), Members({"c", "d", "e"}));
  const auto group = FinalGroup(joint);
  CHECK(group.version() == 3);
  CHECK_FALSE(IsJoint(group));
  CHECK(ConsistsOf(group, Members({"e", "c", "d"})));
  CHECK_FALSE(ConsistsOf(group, Members({"c", "d"})));
  CHECK_FALSE(ConsistsOf(joint, Members({"a", "b", "c"})));
}

TEST_CASE("memberships that would break quorums are invalid") {
  CHECK(IsValidMembership(Members({"a"})));
  CHECK_FALSE(IsValidMembership({}));
  CHECK_FALSE(IsValidMembership(Members({"a", ""})));
  CHECK_FALSE(IsValidMembership(Members({"a", "b", "a"})));
  CHECK_FALSE(IsValidMembership(Members(std::vector<std::string>(kMaxMembers + 1, "a"))));
  CHECK(IsValidGroup(FoundingGroup(Members({"a", "b"}))));
  CHECK_FALSE(IsValidGroup(messages::ReplicaGroup()));
  CHECK_FALSE(IsValidGroup(JointGroup(FoundingGroup(Members({"a"})), Members({"b", "b"}))));
}

}  // namespace
}  // namespace lichenlug::consensus
