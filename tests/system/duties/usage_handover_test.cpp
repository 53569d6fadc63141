// Usage counts of ended processes survive a rolling restart of all stores.
#include "duties/usage_handover.h"

#include <catch2/catch.hpp>

namespace lichenlug::duties {
namespace {

Member Store(const std::string& name, std::uint64_t incarnation, const std::string& replica_id = "store") {
  Member member;
  member.name = name;
  member.incarnation = incarnation;
  member.address = name + ":7660";
  member.replica_id = replica_id;
  return member;
}

messages::UsageReport Report(const std::string& name, std::uint64_t incarnation) {
  messages::UsageReport report;
  report.set_name(name);
  report.set_incarnation(incarnation);
  return report;
}

using Addresses = std::vector<std::string>;

}  // namespace

TEST_CASE("a member is reported as a new store once per process, and not before it has a store") {
  UsageHandover handover;
  CHECK(handover.NewStores({Store("a", 1), Store("b", 1), Store("c", 1, "")}, "a") == Addresses{"b:7660"});
  CHECK(handover.NewStores({Store("a", 1), Store("b", 1), Store("c", 1)}, "a") == Addresses{"c:7660"});
  CHECK(handover.NewStores({Store("a", 1), Store("b", 1), Store("c", 1)}, "a").empty());
  CHECK(handover.NewStores({Store("a", 1), Store("b", 2), Store("c", 1)}, "a") == Addresses{"b:7660"});
}

TEST_CASE("a dispatcher with a store also sends to two without, which survive a power loss of the stores") {
  std::vector<Member> live = {Store("a", 1),     Store("b", 1),     Store("c", 1, ""),
                              Store("d", 1, ""), Store("e", 1, ""), Store("f", 1, "")};
  for (Member& member : live) member.ready = member.name != "c";
  CHECK(UsageReceivers(live, "a", true) == Addresses{"b:7660", "d:7660", "e:7660"});
  CHECK(UsageReceivers(live, "f", false) == Addresses{"a:7660", "b:7660"});
}

TEST_CASE("only reports of ended processes are selected, as live ones send their own") {
  const auto reports = ReportsOfEndedProcesses(
      {Report("a", 1), Report("b", 1), Report("b", 2), Report("gone", 1)}, {Store("a", 1), Store("b", 2)});
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].incarnation() == 1);
  CHECK(reports[0].name() == "b");
  CHECK(reports[1].name() == "gone");
}

}  // namespace lichenlug::duties
