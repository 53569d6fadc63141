// End-to-end path with real processes: first configuration, served streams, reported usage.
#include <map>
#include <set>

#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

constexpr char kThinPath[] = "The first configuration is accepted and all dispatchers serve streams";

// True when the platform was reported at least as many runs of the tenant as the runners started.
bool AllReported(System& system, const std::string& tenant) {
  return system.platform().Reported(tenant) >= system.ledger().begun(tenant);
}

TEST_CASE(kThinPath, "[thin-path]") {
  Testbed testbed;
  REQUIRE(testbed.Found());
  testbed.CheckServedEverywhere();
  ClientRequest other = testbed.Request(ClientKind::kStream);
  other.key = sample::kOtherKey;
  CHECK(testbed.Send(other).outcome == ClientResult::Outcome::kServed);

  System& system = testbed.system();
  CHECK(system.ledger().begun(sample::kTenant) == 3 * system.dispatcher_count());
  CHECK(system.ledger().begun(sample::kOtherTenant) == 1);
  REQUIRE(testbed.RunUntil(
      [&] { return AllReported(system, sample::kTenant) && AllReported(system, sample::kOtherTenant); }));
  CHECK(system.platform().Reported(sample::kTenant) == system.ledger().begun(sample::kTenant));
  CHECK(system.platform().Reported(sample::kOtherTenant) == system.ledger().begun(sample::kOtherTenant));
  std::map<std::int64_t, int> reports;  // by window
  for (const UsageReport& report : system.platform().usage()) ++reports[report.window];
  for (const auto& [window, count] : reports) {
    INFO("window " << window);
    CHECK(count == 1);
  }
  CHECK(testbed.AllRunning());
  testbed.CheckNoViolations();
}

TEST_CASE("An unknown key and an unknown route are rejected", "[thin-path]") {
  Testbed testbed(3, 0, 2);
  REQUIRE(testbed.Found());
  ClientRequest request = testbed.Request(ClientKind::kStream);
  request.key = "nobody's";
  CHECK(testbed.Send(request, 0).status == 401);
  request = testbed.Request(ClientKind::kStream);
  request.path = "/no-such-route/";
  CHECK(testbed.Send(request, 0).status == 404);
  testbed.CheckNoViolations();
}

}  // namespace
}  // namespace lichenlug::standins::test
