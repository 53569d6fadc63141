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
struct Looker {
  explicit Looker(int number) : mover(std::to_string(number), kTolerated, 1) {}

  std::optional<GroupMove> Look(const messages::ReplicaGroup& group, const std::vector<Member>& live) {
    now += kCheckInterval;
    return mover.Next(now, kRegister, group, live, /*may_change=*/true);
  }

  // The time until the first change; nullopt if there is none within `longest`.
  std::optional<Time> LooksUntilMove(const messages::ReplicaGroup& group, const std::vector<Member>& live,
                                     Time longest) {
    const Time began = now;
    while (now - began < longest) {
      if (Look(group, live)) return now - began;
    }
    return std::nullopt;
  }

  GroupMover mover;
  Time now = kStart;
};

TEST_CASE("no group is changed during a simultaneous start of all dispatchers") {
  const auto group = GroupOf(Stores(1, 7));
  for (int number = 1; number <= 7; ++number) {
    Looker looker(number);
    CHECK_FALSE(looker.LooksUntilMove(group, {Store(number)}, kSecond));  // knows only itself
    for (int known = 2; known <= 7; ++known) {                            // discovers the others one by one
      auto live = Stores(1, known);
      if (number > known) live.push_back(Store(number));
      CHECK_FALSE(looker.LooksUntilMove(group, live, 500 * kMillisecond));
    }
    CHECK_FALSE(looker.LooksUntilMove(group, Stores(1, 7), 20 * kSecond));
  }
}

TEST_CASE("a dispatcher that sees no majority changes nothing, however long it runs") {
  Looker looker(1);
  CHECK_FALSE(looker.LooksUntilMove(GroupOf(Stores(1, 7)), Stores(1, 3), 60 * kSecond));
}

TEST_CASE("absent members are dropped once a majority has been visible for kStartOfAllTakes") {
  Looker looker(1);
  const auto dropped = looker.LooksUntilMove(GroupOf(Stores(1, 7)), Stores(1, 5), 60 * kSecond);
  REQUIRE(dropped);
  CHECK(*dropped >= kStartOfAllTakes);
  CHECK(*dropped <= kStartOfAllTakes + kSecond);
}

TEST_CASE("a dispatcher that has long seen a majority drops leaving members immediately") {
  Looker looker(1);
  const auto group = GroupOf(Stores(1, 7));
  REQUIRE_FALSE(looker.LooksUntilMove(group, Stores(1, 7), 2 * kStartOfAllTakes));
  CHECK(looker.Look(group, Stores(1, 5)));
}

TEST_CASE("the wait restarts after a partition from the majority, and after a freeze") {
  const auto group = GroupOf(Stores(1, 7));
  Looker looker(1);
  REQUIRE_FALSE(looker.LooksUntilMove(group, Stores(1, 7), 2 * kStartOfAllTakes));
  SECTION("cut") { REQUIRE_FALSE(looker.Look(group, Stores(1, 2))); }
  SECTION("frozen") { looker.now += 5 * kSecond; }
  const auto dropped = looker.LooksUntilMove(group, Stores(1, 5), 60 * kSecond);
  REQUIRE(dropped);
  CHECK(*dropped >= kStartOfAllTakes);
}

TEST_CASE("only the first live member with a store changes groups, and only if permitted") {
  const auto group = GroupOf(Stores(1, 3));
  Looker second(2);
  CHECK_FALSE(second.LooksUntilMove(group, Stores(1, 7), 10 * kSecond));
  GroupMover leaving("1", kTolerated, 1);
  CHECK_FALSE(leaving.Next(kStart, kRegister, group, Stores(1, 7), /*may_change=*/false));
  Looker first(1);
  const auto move = first.Look(group, Stores(1, 7));
  REQUIRE(move);
  CHECK(move->members.size() == 7);
  CHECK(move->if_version == 3);
}

TEST_CASE("absent members may start until a majority has been visible for long enough") {
  const auto group = GroupOf(Stores(1, 3));
  Looker looker(1);
  CHECK(looker.mover.AbsentMembersOf(looker.now, kRegister) == AbsentMembers::kMayStart);
  looker.LooksUntilMove(group, {Store(1)}, 2 * kStartOfAllTakes);
  CHECK(looker.mover.AbsentMembersOf(looker.now, kRegister) == AbsentMembers::kMayStart);
  looker.LooksUntilMove(group, Stores(1, 2), kStartOfAllTakes + 2 * kCheckInterval);
  CHECK(looker.mover.AbsentMembersOf(looker.now, kRegister) == AbsentMembers::kAreGone);
}

TEST_CASE("only one change is in flight, and it is retried with growing backoff and timeout") {
  const auto group = GroupOf(Stores(1, 3));
  Looker looker(1);
  auto move = looker.Look(group, Stores(1, 7));
  REQUIRE(move);
  CHECK_FALSE(looker.LooksUntilMove(group, Stores(1, 7), 10 * kSecond));  // still in flight
  Time pause = 0, allowed = move->deadline - kStart;
  for (int failure = 0; failure < 4; ++failure) {
    looker.mover.Completed(looker.now, kRegister, /*settled=*/false);
    const Time failed_at = looker.now;
    do move = looker.Look(group, Stores(1, 7));
    while (!move);
    CHECK(looker.now - failed_at >= pause);
    CHECK(move->deadline - looker.now >= allowed);
    pause = (250 * kMillisecond) << failure;
    allowed = move->deadline - looker.now;
  }
  CHECK(allowed > 10 * kSecond);
  looker.mover.Completed(looker.now, kRegister, /*settled=*/true);
  CHECK(looker.Look(group, Stores(1, 7)));  // a new one starts immediately
}

}  // namespace
}  // namespace lichenlug::node
