// The choice of the home dispatcher for the runners of a service in a zone.
#include "registry/homes.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lichenlug::registry {
namespace {

constexpr int kServices = 40;

Member Machine(const std::string& name, const std::string& zone, bool counts, bool serves_control = true) {
  Member member;
  member.name = name;
  member.zone = zone;
  member.address = name + ":7000";
  if (serves_control) member.control_address = name + ":8000";
  member.counts_for_quorum = counts;
  return member;
}

Homes HomesAt(const Member& self, const std::vector<Member>& others, bool prefers_quorum_members = true) {
  Homes homes({self, !self.control_address.empty()}, prefers_quorum_members);
  homes.SetMembers(0, others);
  return homes;
}

std::string Service(int number) { return "service-" + std::to_string(number); }

const std::vector<Member> kMachines = {Machine("front-a-1", "a", false), Machine("front-a-2", "a", false),
                                       Machine("core-a-1", "a", true),   Machine("core-a-2", "a", true),
                                       Machine("front-b-1", "b", false), Machine("front-b-2", "b", false)};

std::vector<Member> Others(const std::string& self) {
  std::vector<Member> others;
  for (const Member& member : kMachines)
    if (member.name != self) others.push_back(member);
  return others;
}

TEST_CASE("all dispatchers agree on a home, and only the home considers itself to be it") {
  for (int number = 0; number < kServices; ++number) {
    std::string agreed;
    int selves = 0;
    for (const Member& self : kMachines) {
      Homes homes = HomesAt(self, Others(self.name));
      const Home& home = homes.HomeOf(0, Service(number), "a");
      if (agreed.empty()) agreed = home.name;
      CHECK(home.name == agreed);
      CHECK(home.is_self == (home.name == self.name));
      selves += home.is_self ? 1 : 0;
    }
    CHECK(selves == 1);
  }
}

TEST_CASE("a dispatcher that counts for the quorum is the home where its zone has one") {
  Homes homes = HomesAt(kMachines[0], Others("front-a-1"));
  Homes any = HomesAt(kMachines[0], Others("front-a-1"), /*prefers_quorum_members=*/false);
  int fronts = 0;
  for (int number = 0; number < kServices; ++number) {
    CHECK(homes.HomeOf(0, Service(number), "a").name.starts_with("core-a-"));
    CHECK(homes.HomeOf(0, Service(number), "b").name.starts_with("front-b-"));
    fronts += any.HomeOf(0, Service(number), "a").name.starts_with("front-a-") ? 1 : 0;
  }
  CHECK(fronts > 0);
}

TEST_CASE("the home moves to another dispatcher of the zone when no live one there counts for the quorum") {
  Homes homes = HomesAt(kMachines[0], Others("front-a-1"));
  const Home before = homes.HomeOf(0, "service", "a");
  homes.SetMembers(5, {kMachines[1], kMachines[4]});
  const Home after = homes.HomeOf(6, "service", "a");
  CHECK(before.name.starts_with("core-a-"));
  CHECK(after.name.starts_with("front-a-"));
  CHECK(after.since == 5);
}

TEST_CASE("a dispatcher without a control address is not chosen as home if another one has such an address") {
  const Member self = Machine("mute", "a", true, /*serves_control=*/false);
  Homes homes = HomesAt(self, {Machine("front-b-1", "b", false)});
  CHECK(homes.HomeOf(0, "service", "a").name == "front-b-1");
  Homes alone = HomesAt(self, {});
  CHECK(alone.HomeOf(0, "service", "a").is_self);
}

}  // namespace
}  // namespace lichenlug::registry
