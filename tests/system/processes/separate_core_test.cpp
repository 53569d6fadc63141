// A deployment with two kinds of machines: front machines without a disk, and a core of five that serves no
// clients and tolerates the loss of two disks at once.
#include <nlohmann/json.hpp>

#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

constexpr int kCore = 5, kFronts = 3;

SystemPlan Plan() {
  SystemPlan plan;
  plan.program = LICHENLUGD_PATH;
  plan.core = kCore;
  plan.diskless = kFronts;
  plan.core_serves_clients = false;
  plan.tolerated_losses = 2;
  return plan;
}

TEST_CASE("A core without clients keeps the state of dispatchers without disks", "[separate-core]") {
  Testbed testbed(Plan());
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  testbed.CheckServedEverywhere();

  SECTION("each process reports its roles") {
    CHECK(system.dispatcher(0).LogHolds("roles: control, store, quorum; not on this machine: clients"));
    CHECK(
        system.dispatcher(kCore).LogHolds("roles: clients, readiness, control; not on this machine: store"));
    CHECK(system.Status(0).at("roles") == Json({"control", "store", "quorum"}));
    CHECK(system.Status(kCore).at("roles") == Json({"clients", "readiness", "control"}));
  }

  SECTION("losing two disks at once loses no acknowledged change") {
    REQUIRE(system.the_operator().Send(testbed.Patch(1, 2, "added"), kTimeout).status == 200);
    for (const std::size_t index : {1, 3}) REQUIRE(system.dispatcher(index).Kill(kTimeout));
    for (const std::size_t index : {1, 3}) system.dispatcher(index).WipeStore();
    CHECK(testbed.CurrentEdition() == 2);
    testbed.CheckServedEverywhere();
    for (const std::size_t index : {1, 3}) system.dispatcher(index).Start();
    REQUIRE(system.WaitReady(kTimeout));
    CHECK(testbed.CurrentEdition() == 2);
  }

  SECTION("all serve again after all were killed at once") {
    for (std::size_t index = 0; index < system.dispatcher_count(); ++index)
      REQUIRE(system.dispatcher(index).Kill(kTimeout));
    for (std::size_t index = 0; index < system.dispatcher_count(); ++index) system.dispatcher(index).Start();
    REQUIRE(system.WaitReady(kTimeout));
    REQUIRE(system.WaitEdition(1, kTimeout));
    testbed.CheckServedEverywhere();
  }

  SECTION("one of each kind shuts down") {
    system.dispatcher(0).Terminate();
    system.dispatcher(kCore).Terminate();
    CHECK(system.dispatcher(0).Ended(kTimeout));
    CHECK(system.dispatcher(kCore).Ended(kTimeout));
    CHECK(system.dispatcher(0).EndedWell());
    CHECK(system.dispatcher(kCore).EndedWell());
    CHECK(testbed.CurrentEdition() == 1);
  }
  testbed.CheckNoViolations();
}

}  // namespace
}  // namespace lichenlug::standins::test
