// Which replica groups are planned for the live members.
#include "node/group_planner.h"

#include <catch2/catch.hpp>
#include <set>

using lichenlug::Member;
using lichenlug::node::AbsentMembers;
using lichenlug::node::CanHandOverVotes;
using lichenlug::node::IsFaultTolerant;
using lichenlug::node::IsGroupKeeper;
using lichenlug::node::IsVoter;
using lichenlug::node::PlanGroup;
using lichenlug::node::SeesMajority;
namespace messages = lichenlug::messages;

namespace {

Member Replica(const std::string& name, const std::string& replica_id) {
  Member member;
  member.name = name;
  member.address = "10.0.0." + name + ":7660";
  member.replica_id = replica_id;
  member.counts_for_quorum = true;
  return member;
}

messages::ReplicaGroup Group(const std::vector<Member>& members) {
  messages::ReplicaGroup group;
  for (const Member& member : members) {
    auto* identity = group.add_members();
    identity->set_replica_id(member.replica_id);
    identity->set_address(member.address);
    identity->set_name(member.name);
  }
  return group;
}

std::set<std::string> Ids(const std::vector<messages::ReplicaIdentity>& identities) {
  std::set<std::string> ids;
  for (const auto& identity : identities) ids.insert(identity.replica_id());
  return ids;
}

using Names = std::set<std::string>;

const Member kOne = Replica("1", "a"), kTwo = Replica("2", "b"), kThree = Replica("3", "c"),
             kFour = Replica("4", "d"), kFive = Replica("5", "e");

}  // namespace

TEST_CASE("A group whose members are all live is unchanged") {
  CHECK_FALSE(PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree}, 1, AbsentMembers::kAreGone));
}

TEST_CASE("An absent member is kept while too few others are live") {
  CHECK_FALSE(PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo}, 1, AbsentMembers::kAreGone));
}

TEST_CASE("A new machine replaces an absent one") {
  const auto wanted = PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kFour}, 1, AbsentMembers::kAreGone);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "d"});
}

TEST_CASE("The number of voters stays odd: one new machine waits, two join") {
  CHECK_FALSE(
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree, kFour}, 1, AbsentMembers::kAreGone));
  const auto wanted =
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree, kFour, kFive}, 1, AbsentMembers::kAreGone);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "c", "d", "e"});
  const auto fewer =
      PlanGroup(Group({kOne, kTwo, kThree, kFour}), {kOne, kTwo, kThree, kFour}, 1, AbsentMembers::kAreGone);
  REQUIRE(fewer);
  CHECK(Ids(*fewer) == Names{"a", "b", "c"});
}

TEST_CASE("A group too small for the tolerated losses grows, even to an even number") {
  const auto wanted =
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree, kFour}, 2, AbsentMembers::kAreGone);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "c", "d"});
}

TEST_CASE("A leaving member hands its vote over before it exits, unless nobody can take it") {
  Member leaving = kThree;
  leaving.replica_id.clear();  // as a draining member announces
  const auto wanted =
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, leaving, kFour}, 1, AbsentMembers::kAreGone);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "d"});
  CHECK_FALSE(PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, leaving}, 1, AbsentMembers::kAreGone));
}

TEST_CASE("A group is fault tolerant if it survives the losses, or no machine is left to join") {
  CHECK(
      IsFaultTolerant(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree, kFour}, 1, AbsentMembers::kAreGone));
  CHECK_FALSE(IsFaultTolerant(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree, kFour, kFive}, 2,
                              AbsentMembers::kAreGone));
  CHECK(IsFaultTolerant(Group({kOne, kTwo, kThree, kFour, kFive}), {kOne, kTwo, kThree, kFour, kFive}, 2,
                        AbsentMembers::kAreGone));
  CHECK(IsFaultTolerant(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree}, 2, AbsentMembers::kAreGone));
  // A process that has just started knows too few of the live members.
  CHECK_FALSE(IsFaultTolerant(Group({kOne, kTwo, kThree}), {kOne}, 2, AbsentMembers::kMayStart));
  CHECK(IsFaultTolerant(Group({kOne, kTwo, kThree}), {kOne}, 1, AbsentMembers::kMayStart));
}

TEST_CASE("An absent member is dropped if enough others are live") {
  const auto wanted =
      PlanGroup(Group({kOne, kTwo, kThree, kFour}), {kOne, kTwo, kThree}, 1, AbsentMembers::kAreGone);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "c"});
}

TEST_CASE("A member that may be about to start is kept, even if enough others are live") {
  CHECK_FALSE(PlanGroup(Group({kOne, kTwo, kThree, kFour, kFive}), {kOne}, 1, AbsentMembers::kMayStart));
  CHECK_FALSE(PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kFour}, 1, AbsentMembers::kMayStart));
  const auto joined =
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kFour, kFive}, 1, AbsentMembers::kMayStart);
  REQUIRE(joined);
  CHECK(Ids(*joined) == Names{"a", "b", "c", "d", "e"});
}

TEST_CASE("A wiped store is replaced immediately, even if others may be about to start") {
  const auto wanted =
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, Replica("3", "new")}, 1, AbsentMembers::kMayStart);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "new"});
}

TEST_CASE("A majority must be live with its stores, in both groups during a move") {
  messages::ReplicaGroup group = Group({kOne, kTwo, kThree});
  CHECK(SeesMajority(group, {kOne, kTwo, kFour}));
  CHECK_FALSE(SeesMajority(group, {kOne, Replica("2", ""), kFour}));
  const messages::ReplicaGroup next = Group({kThree, kFour, kFive});
  for (const auto& identity : next.members()) *group.add_next_members() = identity;
  CHECK_FALSE(SeesMajority(group, {kOne, kTwo, kFour}));
  CHECK(SeesMajority(group, {kOne, kThree, kFour}));
}

TEST_CASE("A machine that returns with an empty store replaces its older identity") {
  const auto wanted =
      PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, Replica("3", "new")}, 1, AbsentMembers::kAreGone);
  REQUIRE(wanted);
  CHECK(Ids(*wanted) == Names{"a", "b", "new"});
}

TEST_CASE("Machines without a store, or that do not count for the quorum, never join") {
  Member diskless = Replica("4", "");
  Member other = Replica("6", "f");
  other.counts_for_quorum = false;
  CHECK_FALSE(PlanGroup(Group({kOne, kTwo, kThree}), {kOne, kTwo, kThree, diskless, other}, 1,
                        AbsentMembers::kAreGone));
}

TEST_CASE("A change in progress is completed") {
  messages::ReplicaGroup group = Group({kOne, kTwo, kThree});
  *group.add_next_members() = group.members(0);
  CHECK(PlanGroup(group, {kOne, kTwo, kThree}, 1, AbsentMembers::kAreGone));
}

TEST_CASE("Votes can be handed over if enough other live members may take them") {
  const Member diskless = Replica("4", "");
  Member other = Replica("6", "f");
  other.counts_for_quorum = false;
  CHECK(CanHandOverVotes({kOne, kTwo, kThree, Replica("5", "e")}, "1", 1));
  CHECK_FALSE(CanHandOverVotes({kOne, kTwo, kThree, diskless, other}, "1", 1));
  CHECK(CanHandOverVotes({kTwo, kThree, Replica("5", "e")}, "1", 1));
  CHECK_FALSE(CanHandOverVotes({kOne, kTwo, kThree, Replica("5", "e")}, "1", 2));
}

TEST_CASE("A replica is a voter in the present group and in the next one during a move") {
  messages::ReplicaGroup group = Group({kOne, kTwo});
  CHECK(IsVoter(group, "a"));
  CHECK_FALSE(IsVoter(group, "c"));
  CHECK_FALSE(IsVoter(group, ""));
  *group.add_next_members() = Group({kThree}).members(0);
  CHECK(IsVoter(group, "a"));
  CHECK(IsVoter(group, "c"));
}

TEST_CASE("The first live member with a store is the group keeper") {
  const Member diskless = Replica("0", "");
  CHECK(IsGroupKeeper({diskless, kOne, kTwo}, "1"));
  CHECK_FALSE(IsGroupKeeper({diskless, kOne, kTwo}, "0"));
  CHECK_FALSE(IsGroupKeeper({diskless, kOne, kTwo}, "2"));
  CHECK_FALSE(IsGroupKeeper({}, "1"));
}
