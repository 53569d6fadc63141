// Planned shutdowns: draining runners, and dispatchers that receive SIGTERM.
#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

std::vector<ClientRequest> MixedRequests(const Testbed& testbed, int count_per_kind, int events) {
  std::vector<ClientRequest> requests;
  for (int number = 0; number < count_per_kind; ++number)
    for (const ClientKind kind : {ClientKind::kPlain, ClientKind::kStream, ClientKind::kResumable})
      requests.push_back(testbed.Request(kind, events + number));
  return requests;
}

TEST_CASE("No request reaches a runner after the time limit of its drain", "[drain]") {
  Testbed testbed;
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  system.clients().KeepUp(MixedRequests(testbed, 12, 5));
  REQUIRE(testbed.RunUntil([&] { return system.runner(2).served() > 0 && system.runner(3).served() > 0; }));

  // Each drain is acknowledged by one dispatcher: one of each zone, one of them without a disk.
  system.runner(2).Drain(system.dispatcher(0).control_address());
  system.runner(3).Drain(system.dispatcher(3).control_address());
  REQUIRE(testbed.RunUntil(
      [&] { return system.runner(2).drain_acknowledged() && system.runner(3).drain_acknowledged(); }));
  system.loop().RunFor(system.runner(2).settings().drain_bound + 2 * kSecond);
  system.clients().StopNew();
  REQUIRE(testbed.RunUntil([&] { return system.clients().in_flight() == 0; }));
  CHECK(system.clients().figures().cut == 0);
  CHECK(system.clients().figures().failed == 0);
  CHECK(system.clients().figures().served > 100);
  testbed.CheckNoViolations();  // the runners check each request they receive
}

TEST_CASE("A rolling restart interrupts no response", "[rolling-restart]") {
  Testbed testbed(3, 0, 6);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  system.clients().KeepUp(MixedRequests(testbed, 8, 20));
  for (std::size_t index = 0; index < system.dispatcher_count(); ++index) {
    Dispatcher& dispatcher = system.dispatcher(index);
    dispatcher.Terminate();
    REQUIRE(dispatcher.Ended(kTimeout));
    CHECK(dispatcher.EndedWell());
    dispatcher.Start();
    REQUIRE(system.WaitReady(kTimeout));
  }
  system.clients().StopNew();
  REQUIRE(testbed.RunUntil([&] { return system.clients().in_flight() == 0; }));
  const ClientFigures& figures = system.clients().figures();
  CHECK(figures.cut == 0);
  CHECK(figures.failed == 0);
  CHECK(figures.resumed == 0);
  CHECK(figures.served > 100);
  testbed.CheckNoViolations();
}

}  // namespace
}  // namespace lichenlug::standins::test
