// A dispatcher queries members with a store for the replica groups, however many members have none.
#include "node/group_query_targets.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace lichenlug::node {
namespace {

constexpr char kOwn[] = "10.0.0.1:7000";

Member Machine(int number, bool has_store) {
  Member member;
  member.name = "m-" + std::to_string(number);
  member.address = "10.0.0." + std::to_string(number) + ":7000";
  if (has_store) member.replica_id = "replica:" + std::to_string(number);
  return member;
}

// The machines whose numbers are in `stores` keep a store; the querying one is number 1, without a store.
std::vector<Member> Machines(int count, const std::set<int>& stores) {
  std::vector<Member> members;
  for (int number = 1; number <= count; ++number) members.push_back(Machine(number, stores.contains(number)));
  return members;
}

TEST_CASE("members with a store are queried in each round, among many without one") {
  for (const int count : {10, 73, 300}) {
    const std::set<int> stores = {2, count / 2, count};
    const std::vector<Member> live = Machines(count, stores);
    GroupQueryTargets query_targets;
    std::set<std::string> stores_asked;
    for (int round = 0; round < 3; ++round) {
      const auto asked = query_targets.Next(live, kOwn);
      CHECK(asked.size() <= kMaxGroupQueries);
      CHECK(std::set<std::string>(asked.begin(), asked.end()).size() == asked.size());
      int with_store = 0;
      for (const Member& member : live) {
        if (member.replica_id.empty()) continue;
        if (std::find(asked.begin(), asked.end(), member.address) == asked.end()) continue;
        ++with_store;
        stores_asked.insert(member.address);
      }
      CAPTURE(count, round);
      CHECK(with_store >= 2);
    }
    CHECK(stores_asked.size() == stores.size());
  }
}

TEST_CASE("all members are queried in turn, because those with a store may be unreachable") {
  const std::vector<Member> live = Machines(8, {2, 3});
  GroupQueryTargets query_targets;
  std::set<std::string> asked;
  for (int round = 0; round < 8; ++round)
    for (const std::string& address : query_targets.Next(live, kOwn)) asked.insert(address);
  CHECK(asked.size() == 7);
  CHECK_FALSE(asked.contains(kOwn));
}

TEST_CASE("without a member with a store any member is queried, and a lone dispatcher queries nobody") {
  GroupQueryTargets query_targets;
  CHECK(query_targets.Next(Machines(5, {}), kOwn).size() == kMaxGroupQueries);
  CHECK(query_targets.Next(Machines(1, {}), kOwn).empty());
  CHECK(query_targets.Next({}, kOwn).empty());
}

}  // namespace
}  // namespace lichenlug::node
