// Loss of processes and disks: what was acknowledged is kept, and new changes are accepted.
#include <algorithm>

#include "lab/system/http_call.h"
#include "testbed.h"

namespace lichenlug::standins::test {
namespace {

TEST_CASE("Acknowledged changes are read back after all core dispatchers were killed",
          "[whole-core-killed]") {
  Testbed testbed;
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    const std::int64_t edition = 2 + round;
    REQUIRE(system.the_operator()
                .Send(testbed.Patch(edition - 1, edition, "added-" + std::to_string(edition)), kTimeout)
                .status == 200);
    for (std::size_t index = 0; index < system.dispatcher_count(); ++index)
      REQUIRE(system.dispatcher(index).Kill(kTimeout));
    for (std::size_t index = 0; index < system.dispatcher_count(); ++index) system.dispatcher(index).Start();
    CHECK(testbed.CurrentEdition() == edition);
  }
  REQUIRE(system.WaitReady(kTimeout));
  REQUIRE(system.WaitEdition(1 + kRounds, kTimeout));
  testbed.CheckServedEverywhere();
  CHECK(system.the_operator().Read(kTimeout).at("routes").size() == 3 + kRounds);
  CHECK(testbed.AllRunning());
  testbed.CheckNoViolations();
}

int CallRunners(System& system, std::size_t dispatcher, const std::string& method, const std::string& id,
                const std::string& condition) {
  HttpCall call;
  call.method = method;
  call.path = wire::kRunnersPath + id;
  call.headers = {{wire::kContentType, wire::kJsonType}};
  if (method == "PUT") {
    Json heartbeat = RunnerHeartbeat();
    heartbeat["address"] =
        id == "removed" ? "127.0.0.1:7" : "127.0.0.1:9";  // a runner replaces one at its address
    heartbeat[wire::kCondition] = condition;
    heartbeat[wire::kCallCount] = condition == "draining" ? 2 : 1;
    call.body = heartbeat.dump();
  }
  return CallAndWait(&system.loop(), system.dispatcher(dispatcher).control_address(), call).status;
}

bool ListsAsReady(System& system, std::size_t dispatcher, const std::string& id) {
  const Json status = system.Status(dispatcher);
  const Json& runners = status.at("runners");
  return std::any_of(runners.begin(), runners.end(), [&](const Json& runner) {
    return runner.at("id") == id && runner.at("state") == "RUNNER_READY";
  });
}

// Guards against an acknowledged drain or removal of a runner that is forgotten with the processes, so that a
// late heartbeat makes the runner ready again (review/5).
TEST_CASE("Acknowledged ends of runners outlast a kill of all dispatchers", "[ends-outlast-kill]") {
  Testbed testbed(3, 0, 2);
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  REQUIRE(CallRunners(system, 0, "PUT", "removed", "ready") == 200);
  REQUIRE(CallRunners(system, 0, "DELETE", "removed", "") == 200);
  REQUIRE(CallRunners(system, 1, "PUT", "drained", "ready") == 200);
  REQUIRE(CallRunners(system, 1, "PUT", "drained", "draining") == 200);
  for (std::size_t index = 0; index < system.dispatcher_count(); ++index)
    REQUIRE(system.dispatcher(index).Kill(kTimeout));
  for (std::size_t index = 0; index < system.dispatcher_count(); ++index) system.dispatcher(index).Start();
  REQUIRE(system.WaitReady(kTimeout));
  CHECK(CallRunners(system, 1, "PUT", "removed", "ready") == 200);
  CHECK(CallRunners(system, 2, "PUT", "drained", "ready") == 200);
  for (std::size_t index = 0; index < system.dispatcher_count(); ++index) {
    CHECK_FALSE(ListsAsReady(system, index, "removed"));
    CHECK_FALSE(ListsAsReady(system, index, "drained"));
  }
  CHECK(testbed.AllRunning());
  testbed.CheckServedEverywhere();
  testbed.CheckNoViolations();
}

// The replicas of the configuration register according to one dispatcher; none during a change.
std::vector<std::string> Replicas(System& system, std::size_t dispatcher) {
  std::vector<std::string> replicas;
  const Json status = system.Status(dispatcher);
  if (!status.is_object()) return replicas;
  const Json& group = status.at("registers").at("configuration");
  if (group.at("changing").get<bool>()) return replicas;
  for (const Json& member : group.at("members")) replicas.push_back(member.get<std::string>());
  return replicas;
}

TEST_CASE("A machine with a wiped disk rejoins and then tolerates the loss of another machine",
          "[wiped-disk]") {
  Testbed testbed;
  REQUIRE(testbed.Found());
  System& system = testbed.system();
  Dispatcher& wiped = system.dispatcher(1);
  REQUIRE(wiped.Kill(kTimeout));
  wiped.WipeStore();
  wiped.Start();
  const auto joined = [&] {
    const std::vector<std::string> replicas = Replicas(system, 0);
    int of_wiped = 0;
    for (const std::string& replica : replicas) {
      const bool there = replica.ends_with("@" + wiped.internal_address());
      if (there && replica.starts_with("founder:")) return false;
      of_wiped += there ? 1 : 0;
    }
    return replicas.size() == 3 && of_wiped == 1;
  };
  REQUIRE(testbed.RunUntil(joined));
  // Per the deployment settings, it counts as lost for catch_up_s after its return.
  system.loop().RunFor(wiped.settings().times.catch_up_s * kSecond);

  REQUIRE(system.dispatcher(2).Kill(kTimeout));
  REQUIRE(system.the_operator().Send(testbed.Patch(1, 2, "added"), kTimeout).status == 200);
  CHECK(testbed.CurrentEdition() == 2);
  REQUIRE(testbed.Send(testbed.Request(ClientKind::kStream), 1).outcome == ClientResult::Outcome::kServed);
  system.dispatcher(2).Start();
  REQUIRE(system.WaitReady(kTimeout));
  REQUIRE(system.WaitEdition(2, kTimeout));
  testbed.CheckServedEverywhere();
  testbed.CheckNoViolations();
}

// Power loss during the first start: after it, `kept_stores` (0 or 1) machines of the core have a store.
void CheckFoundingWithStores(std::size_t kept_stores) {
  Testbed testbed;
  System& system = testbed.system();
  system.StartDispatchers();
  constexpr std::size_t kCore = 3;
  REQUIRE(testbed.RunUntil([&] { return system.dispatcher(0).LogHolds("store: opened as founder:"); }));
  for (std::size_t index = 0; index < kCore; ++index) REQUIRE(system.dispatcher(index).Kill(kTimeout));
  for (std::size_t index = kept_stores; index < kCore; ++index) system.dispatcher(index).WipeStore();
  for (std::size_t index = 0; index < kCore; ++index) system.dispatcher(index).Start();
  system.StartRunners();
  REQUIRE(system.TakeFirstConfiguration(kTimeout));
  REQUIRE(system.WaitReady(kTimeout));
  CHECK(testbed.CurrentEdition() == 1);
  testbed.CheckServedEverywhere();
  CHECK(testbed.AllRunning());
  testbed.CheckNoViolations();
}

TEST_CASE("A cluster is founded although its first start left no store", "[founded-without-stores]") {
  CheckFoundingWithStores(0);
}

TEST_CASE("A cluster is founded although its first start left only one store", "[founded-with-one-store]") {
  CheckFoundingWithStores(1);
}

}  // namespace
}  // namespace lichenlug::standins::test
