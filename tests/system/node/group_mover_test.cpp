// When the group mover changes the replica groups.
#include "node/group_mover.h"

#include <catch2/catch.hpp>

namespace lichenlug::node {
namespace {

const std::string kRegister = "configuration";
constexpr int kTolerated = 2;
constexpr Time kCheckInterval = 300 * kMillisecond;
constexpr Time kStart = 100 * kSecond;

Member Store(int number) {
  Member member;
  member.name = std::to_string(number);
  member.address = member.name + ":7660";
  member.replica_id = "store-" + member.name;
  member.counts_for_quorum = true;
  return member;
}

std::vector<Member> Stores(int first, int last) {
  std::vector<Member> stores;
  for (int number = first; number <= last; ++number) stores.push_back(Store(number));
  return stores;
}

messages::ReplicaGroup GroupOf(const std::vector<Member>& members) {
  messages::ReplicaGroup group;
  group.set_version(3);
  for (const Member& member : members) {
    auto* identity = group.add_members();
    identity->set_replica_id(member.replica_id);
    identity->set_address(member.address);
    identity->set_name(member.name);
  }
  return group;
}

// One dispatcher that checks its groups every 300 ms.
struct TestDispatcher {
  explicit TestDispatcher(int number) : mover(std::to_string(number), kTolerated, 1) {}

  std::optional<GroupMove> Check(const messages::ReplicaGroup& group, const std::vector<Member>& live) {
    now += kCheckInterval;
    return mover.Next(now, kRegister, group, live, /*may_change=*/true);
  }

  // The time until the first change; nullopt if there is none within `longest`.
  std::optional<Time> TimeUntilMove(const messages::ReplicaGroup& group, const std::vector<Member>& live,
                                    Time longest) {
    const Time began = now;
    while (now - began < longest) {
      if (Check(group, live)) return now - began;
    }
    return std::nullopt;
  }

  GroupMover mover;
  Time now = kStart;
};

TEST_CASE("no group is changed during a simultaneous start of all dispatchers") {
  const auto group = GroupOf(Stores(1, 7));
  for (int number = 1; number <= 7; ++number) {
    TestDispatcher dispatcher(number);
    CHECK_FALSE(dispatcher.TimeUntilMove(group, {Store(number)}, kSecond));  // knows only itself
    for (int known = 2; known <= 7; ++known) {  // discovers the others one by one
      auto live = Stores(1, known);
      if (number > known) live.push_back(Store(number));
      CHECK_FALSE(dispatcher.TimeUntilMove(group, live, 500 * kMillisecond));
    }
    CHECK_FALSE(dispatcher.TimeUntilMove(group, Stores(1, 7), 20 * kSecond));
  }
}

TEST_CASE("a dispatcher that sees no majority changes nothing, however long it runs") {
  TestDispatcher dispatcher(1);
  CHECK_FALSE(dispatcher.TimeUntilMove(GroupOf(Stores(1, 7)), Stores(1, 3), 60 * kSecond));
}

TEST_CASE("absent members are dropped once a majority has been visible for the duration of a full start") {
  TestDispatcher dispatcher(1);
  const auto dropped = dispatcher.TimeUntilMove(GroupOf(Stores(1, 7)), Stores(1, 5), 60 * kSecond);
  REQUIRE(dropped);
  CHECK(*dropped >= kFullStartDuration);
  CHECK(*dropped <= kFullStartDuration + kSecond);
}

TEST_CASE("a dispatcher that has long seen a majority drops leaving members immediately") {
  TestDispatcher dispatcher(1);
  const auto group = GroupOf(Stores(1, 7));
  REQUIRE_FALSE(dispatcher.TimeUntilMove(group, Stores(1, 7), 2 * kFullStartDuration));
  CHECK(dispatcher.Check(group, Stores(1, 5)));
}

TEST_CASE("the wait restarts after a partition from the majority, and after a freeze") {
  const auto group = GroupOf(Stores(1, 7));
  TestDispatcher dispatcher(1);
  REQUIRE_FALSE(dispatcher.TimeUntilMove(group, Stores(1, 7), 2 * kFullStartDuration));
  SECTION("cut") { REQUIRE_FALSE(dispatcher.Check(group, Stores(1, 2))); }
  SECTION("frozen") { dispatcher.now += 5 * kSecond; }
  const auto dropped = dispatcher.TimeUntilMove(group, Stores(1, 5), 60 * kSecond);
  REQUIRE(dropped);
  CHECK(*dropped >= kFullStartDuration);
}

TEST_CASE("only the first live member with a store changes groups, and only if permitted") {
  const auto group = GroupOf(Stores(1, 3));
  TestDispatcher second(2);
  CHECK_FALSE(second.TimeUntilMove(group, Stores(1, 7), 10 * kSecond));
  GroupMover leaving("1", kTolerated, 1);
  CHECK_FALSE(leaving.Next(kStart, kRegister, group, Stores(1, 7), /*may_change=*/false));
  TestDispatcher first(1);
  const auto move = first.Check(group, Stores(1, 7));
  REQUIRE(move);
  CHECK(move->members.size() == 7);
  CHECK(move->if_version == 3);
}

TEST_CASE("absent members may start until a majority has been visible for long enough") {
  const auto group = GroupOf(Stores(1, 3));
  TestDispatcher dispatcher(1);
  CHECK(dispatcher.mover.AbsentMembersOf(dispatcher.now, kRegister) == AbsentMembers::kMayStart);
  dispatcher.TimeUntilMove(group, {Store(1)}, 2 * kFullStartDuration);
  CHECK(dispatcher.mover.AbsentMembersOf(dispatcher.now, kRegister) == AbsentMembers::kMayStart);
  dispatcher.TimeUntilMove(group, Stores(1, 2), kFullStartDuration + 2 * kCheckInterval);
  CHECK(dispatcher.mover.AbsentMembersOf(dispatcher.now, kRegister) == AbsentMembers::kAreGone);
}

TEST_CASE("only one change is in flight, and it is retried with growing backoff and timeout") {
  const auto group = GroupOf(Stores(1, 3));
  TestDispatcher dispatcher(1);
  auto move = dispatcher.Check(group, Stores(1, 7));
  REQUIRE(move);
  CHECK_FALSE(dispatcher.TimeUntilMove(group, Stores(1, 7), 10 * kSecond));  // still in flight
  Time pause = 0, allowed = move->deadline - kStart;
  for (int failure = 0; failure < 4; ++failure) {
    dispatcher.mover.Completed(dispatcher.now, kRegister, /*settled=*/false);
    const Time failed_at = dispatcher.now;
    do move = dispatcher.Check(group, Stores(1, 7));
    while (!move);
    CHECK(dispatcher.now - failed_at >= pause);
    CHECK(move->deadline - dispatcher.now >= allowed);
    pause = (250 * kMillisecond) << failure;
    allowed = move->deadline - dispatcher.now;
  }
  CHECK(allowed > 10 * kSecond);
  dispatcher.mover.Completed(dispatcher.now, kRegister, /*settled=*/true);
  CHECK(dispatcher.Check(group, Stores(1, 7)));  // a new one starts immediately
}

}  // namespace
}  // namespace lichenlug::node
