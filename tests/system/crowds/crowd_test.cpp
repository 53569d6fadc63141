// Crowds of clients that misbehave, at each port of a real dispatcher of the model router. With a crowd that
// stays connected, the process lives, keeps to its memory and descriptors and answers an ordinary request;
// without it, it gives back what it held. Nothing here depends on the machine's speed: the timeouts only
// matter for failures.
#include <catch2/catch.hpp>

#include "../processes/testbed.h"
#include "lab/fleet/crowd_requests.h"
#include "lab/fleet/process_memory.h"
#include "lab/system/http_call.h"

namespace lichenlug::crowds {
namespace {

using lab::AnnouncedBodies;
using lab::ChunkedBodies;
using lab::CrowdPlan;
using lab::Ending;
using lab::EndlessHeads;
using lab::RequestStart;
using standins::ClientKind;
using standins::ClientResult;
using standins::Dispatcher;
using standins::EndpointOf;
using standins::HttpCall;
using standins::test::Json;
using standins::test::Testbed;

constexpr std::size_t kKiB = 1024, kMiB = 1024 * kKiB;
// The limits of the machine in these tests' settings: the target that each test checks.
constexpr int kMemoryMb = 48, kDescriptors = 1024;
constexpr std::size_t kMaxBody = 4 * kMiB;            // of a client's request, by the configuration
constexpr std::size_t kHeadBytes = 16000;             // just below the limit of heads
constexpr std::size_t kFrameBytes = 8 * kMiB;         // the largest message between dispatchers
constexpr Time kCrowdTimeout = 120 * kSecond;         // sanitizers are slow
constexpr Time kSampleInterval = 200 * kMillisecond;  // reading the table of connections takes long
constexpr std::size_t kDescriptorSlack = 16;  // connections between dispatchers and to runners come and go

// AddressSanitizer adds to each allocation and keeps what was freed.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMemoryIsMeasured = false;
#else
constexpr bool kMemoryIsMeasured = true;
#endif

standins::SystemPlan Plan() {
  standins::SystemPlan plan;
  plan.program = LICHENLUGD_PATH;
  plan.core = 3, plan.diskless = 0, plan.runners = 2;
  plan.memory_mb = kMemoryMb, plan.descriptors = kDescriptors;
  return plan;
}

// A system whose first dispatcher has a crowd at one of its ports.
class Target {
 public:
  Target() : testbed_(Plan()) {
    REQUIRE(testbed_.Found());
    Json configuration = standins::sample::Configuration(2);
    configuration["parcel_limits"]["body_bytes"] = kMaxBody;
    REQUIRE(system().the_operator().Send(testbed_.Put(1, configuration), standins::test::kTimeout).status ==
            200);
    REQUIRE(system().WaitEdition(2, standins::test::kTimeout));
    REQUIRE(system().WaitReady(standins::test::kTimeout));
    descriptors_before_ = dispatcher().process().Descriptors();
  }

  Dispatcher& dispatcher() { return system().dispatcher(0); }
  standins::System& system() { return testbed_.system(); }

  void Withstand(const std::string& address, CrowdPlan plan) {
    lab::MemoryWatch watch(&dispatcher().process(), Listeners());
    lab::Crowd crowd(system().loop().io(), EndpointOf(address), std::move(plan));
    const bool settled = RunUntil([&] { return crowd.Settled(); }, &watch);
    CHECK(settled);
    REQUIRE(dispatcher().Running());
    CheckAnswers();
    watch.Sample();
    CheckLimits(watch, crowd);
    crowd.Close();
    CheckRelease();
    testbed_.CheckNoViolations();
  }

  // SIGTERM ends the process in its grace period although a crowd stays connected.
  void EndBeside(const std::string& address, CrowdPlan plan) {
    lab::Crowd crowd(system().loop().io(), EndpointOf(address), std::move(plan));
    CHECK(RunUntil([&] { return crowd.Settled(); }, nullptr));
    REQUIRE(dispatcher().Running());
    dispatcher().Terminate();
    REQUIRE(dispatcher().Ended(dispatcher().settings().times.grace_s * kSecond));
    CHECK(dispatcher().EndedWell());
  }

 private:
  std::vector<asio::ip::tcp::endpoint> Listeners() {
    return {EndpointOf(dispatcher().front_address()), EndpointOf(dispatcher().ready_address()),
            EndpointOf(dispatcher().control_address()), EndpointOf(dispatcher().internal_address())};
  }

  // Samples the process's memory while it waits.
  bool RunUntil(const standins::Loop::Condition& condition, lab::MemoryWatch* watch) {
    Time sampled_at = 0;
    return system().loop().RunUntil(
        [&] {
          const Time now = system().loop().Now();
          if (watch != nullptr && now - sampled_at >= kSampleInterval) {
            watch->Sample();
            sampled_at = system().loop().Now();
          }
          return condition() || !dispatcher().Running();
        },
        kCrowdTimeout);
  }

  void CheckAnswers() {
    standins::ClientRequest request = testbed_.Request(ClientKind::kPlain);
    const ClientResult result = testbed_.Send(request, 0);
    INFO("a client's request: status " << result.status);
    CHECK(result.outcome == ClientResult::Outcome::kServed);
    CHECK(Answers(dispatcher().control_address(), standins::wire::kConfigurationPath));
    CHECK(Answers(dispatcher().ready_address(), standins::wire::kReadyPath));
    CHECK(testbed_.CurrentEdition() == 2);
  }

  // A caller tries again until it has an answer.
  bool Answers(const std::string& address, const std::string& path) {
    HttpCall call;
    call.path = path;
    const Time deadline = system().loop().Now() + standins::test::kTimeout;
    while (system().loop().Now() < deadline)
      if (standins::CallAndWait(&system().loop(), address, call).status == 200) return true;
    return false;
  }

  void CheckLimits(const lab::MemoryWatch& watch, const lab::Crowd& crowd) {
    UNSCOPED_INFO("the crowd sent " << crowd.sent_bytes() / kMiB << " MiB; at the peak the process held "
                                    << watch.peak_bytes() / kMiB << " MiB and " << watch.peak_descriptors()
                                    << " descriptors");
    if (kMemoryIsMeasured) CHECK(watch.peak_bytes() <= kMemoryMb * kMiB);
    CHECK(watch.peak_descriptors() <= kDescriptors);
  }

  void CheckRelease() {
    lab::MemoryWatch none(&dispatcher().process(), {});
    CHECK(RunUntil(
        [&] { return dispatcher().process().Descriptors() <= descriptors_before_ + kDescriptorSlack; },
        nullptr));
    const int pid = dispatcher().process().pid();
    if (kMemoryIsMeasured)
      CHECK(RunUntil([&] { return lab::ResidentBytes(pid) <= kMemoryMb * kMiB / 2; }, nullptr));
    REQUIRE(dispatcher().Running());
    CheckAnswers();
  }

  Testbed testbed_;
  std::size_t descriptors_before_ = 0;
};

RequestStart ClientStart() {
  return std::string("POST ") + standins::sample::kPlainPath +
         "crowd HTTP/1.1\r\nHost: " + standins::sample::kHost + "\r\nAuthorization: Bearer " +
         standins::sample::kKey + "\r\n" + standins::wire::kAttemptId + ": crowd\r\n" +
         standins::wire::kModel + ": " + standins::sample::kBusyModel + "\r\n";
}

RequestStart OperatorStart() {
  return std::string("PUT ") + standins::wire::kConfigurationPath + " HTTP/1.1\r\nHost: x\r\nIf-Match: 2\r\n";
}

RequestStart ReadyStart() {
  return std::string("GET ") + standins::wire::kReadyPath + " HTTP/1.1\r\nHost: x\r\n";
}

CrowdPlan SilentConnections(int connections) {
  CrowdPlan plan;
  plan.connections = connections;
  return plan;
}

// Messages between dispatchers of which the last byte is missing.
CrowdPlan UnfinishedFrames(int connections) {
  CrowdPlan plan;
  plan.connections = connections;
  for (int shift = 24; shift >= 0; shift -= 8) plan.head += static_cast<char>(kFrameBytes >> shift & 0xff);
  plan.block = std::string(64 * kKiB, 'x');
  plan.blocks = kFrameBytes / plan.block.size() - 1;
  plan.tail = std::string(plan.block.size() - 1, 'x');
  return plan;
}

// The sizes of the crowds: together far more bytes than the machine has memory for, or more connections than
// it has descriptors.
constexpr int kLargeBodies = 40, kSmallChunkBodies = 80, kHeads = 250, kManyConnections = 1100;
constexpr int kFewBodies = 4;
constexpr int kMoreClientsThanAllowed = 300;
constexpr std::size_t kSmallChunks = 500'000;  // of one byte
constexpr std::size_t kLargeChunk = 64 * kKiB, kTooManyBytes = 16 * kMiB;

// ---- Clients' port ----

TEST_CASE("Clients announce large bodies and stop short", "[front-announced-short]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   AnnouncedBodies(kLargeBodies, ClientStart(), kMaxBody, Ending::kStopsShort));
}

TEST_CASE("Clients send large bodies at once", "[front-announced-whole]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   AnnouncedBodies(kLargeBodies, ClientStart(), kMaxBody, Ending::kComplete));
}

TEST_CASE("Clients send large chunks and stop short", "[front-chunks-short]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   ChunkedBodies(kLargeBodies, ClientStart(), kLargeChunk, kMaxBody / kLargeChunk - 1,
                                 Ending::kStopsShort));
}

TEST_CASE("Clients send large chunks to the end", "[front-chunks-whole]") {
  Target target;
  target.Withstand(
      target.dispatcher().front_address(),
      ChunkedBodies(kLargeBodies, ClientStart(), kLargeChunk, kMaxBody / kLargeChunk, Ending::kComplete));
}

TEST_CASE("Clients send very small chunks and stop short", "[front-small-chunks-short]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   ChunkedBodies(kSmallChunkBodies, ClientStart(), 1, kSmallChunks, Ending::kStopsShort));
}

TEST_CASE("Clients send very small chunks to the end", "[front-small-chunks-whole]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   ChunkedBodies(kSmallChunkBodies, ClientStart(), 1, kSmallChunks, Ending::kComplete));
}

TEST_CASE("Clients announce bodies over the limit", "[front-announced-over-limit]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   AnnouncedBodies(kLargeBodies, ClientStart(), kTooManyBytes, Ending::kComplete));
}

TEST_CASE("Clients send chunks over the limit", "[front-chunks-over-limit]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   ChunkedBodies(kLargeBodies, ClientStart(), kLargeChunk, kTooManyBytes / kLargeChunk,
                                 Ending::kComplete));
}

TEST_CASE("Clients send heads of thousands of headers", "[front-heads]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(), EndlessHeads(kHeads, ClientStart(), kHeadBytes));
}

TEST_CASE("More clients than there may be stop within their bodies", "[front-connections]") {
  Target target;
  target.Withstand(target.dispatcher().front_address(),
                   AnnouncedBodies(kMoreClientsThanAllowed, ClientStart(), 100, Ending::kStopsShort));
}

TEST_CASE("SIGTERM ends a dispatcher beside clients that stop short", "[front-sigterm]") {
  Target target;
  target.EndBeside(target.dispatcher().front_address(),
                   AnnouncedBodies(kLargeBodies, ClientStart(), kMaxBody, Ending::kStopsShort));
}

// ---- Control port ----

TEST_CASE("Callers announce large bodies and stop short", "[control-announced-short]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   AnnouncedBodies(kLargeBodies, OperatorStart(), kMaxBody, Ending::kStopsShort));
}

TEST_CASE("Callers send large bodies at once", "[control-announced-whole]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   AnnouncedBodies(kLargeBodies, OperatorStart(), kMaxBody, Ending::kComplete));
}

TEST_CASE("Callers send large chunks and stop short", "[control-chunks-short]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   ChunkedBodies(kLargeBodies, OperatorStart(), kLargeChunk, kMaxBody / kLargeChunk - 1,
                                 Ending::kStopsShort));
}

TEST_CASE("Callers send large chunks to the end", "[control-chunks-whole]") {
  Target target;
  target.Withstand(
      target.dispatcher().control_address(),
      ChunkedBodies(kLargeBodies, OperatorStart(), kLargeChunk, kMaxBody / kLargeChunk, Ending::kComplete));
}

TEST_CASE("Callers send very small chunks and stop short", "[control-small-chunks-short]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   ChunkedBodies(kSmallChunkBodies, OperatorStart(), 1, kSmallChunks, Ending::kStopsShort));
}

TEST_CASE("Callers send very small chunks to the end", "[control-small-chunks-whole]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   ChunkedBodies(kSmallChunkBodies, OperatorStart(), 1, kSmallChunks, Ending::kComplete));
}

TEST_CASE("Callers announce bodies over the limit", "[control-announced-over-limit]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   AnnouncedBodies(kLargeBodies, OperatorStart(), 2 * kTooManyBytes, Ending::kComplete));
}

TEST_CASE("Callers send chunks over the limit", "[control-chunks-over-limit]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   ChunkedBodies(kLargeBodies, OperatorStart(), kLargeChunk, 2 * kTooManyBytes / kLargeChunk,
                                 Ending::kComplete));
}

TEST_CASE("Callers send heads of thousands of headers", "[control-heads]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(), EndlessHeads(kHeads, OperatorStart(), kHeadBytes));
}

TEST_CASE("More callers than there are descriptors say nothing", "[control-connections]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(), SilentConnections(kManyConnections));
}

TEST_CASE("SIGTERM ends a dispatcher beside callers that stop short", "[control-sigterm]") {
  Target target;
  target.EndBeside(target.dispatcher().control_address(),
                   AnnouncedBodies(kLargeBodies, OperatorStart(), kMaxBody, Ending::kStopsShort));
}

// A body of `size` bytes that repeats one short value.
CrowdPlan ManyValues(int connections, const RequestStart& start, const std::string& opening,
                     const std::string& value, std::size_t size) {
  CrowdPlan plan;
  plan.connections = connections;
  const std::size_t values = (size - opening.size()) / value.size();
  plan.head = start + "Content-Length: " + std::to_string(opening.size() + values * value.size()) +
              "\r\n\r\n" + opening;
  plan.block = value;
  plan.blocks = values;
  return plan;
}

TEST_CASE("Callers send configurations of very many objects", "[control-many-objects]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   ManyValues(kFewBodies, OperatorStart(), R"({"edition":9,"routes":[)", "{},", kMaxBody));
}

TEST_CASE("Callers send heartbeats of very many lists", "[control-many-lists]") {
  Target target;
  target.Withstand(target.dispatcher().control_address(),
                   ManyValues(kFewBodies, "PUT /-/runners/x HTTP/1.1\r\nHost: x\r\n", "[", "[],", kMaxBody));
}

// ---- Readiness port ----

TEST_CASE("Bodies are sent to the readiness port", "[ready-announced-over-limit]") {
  Target target;
  target.Withstand(target.dispatcher().ready_address(),
                   AnnouncedBodies(kLargeBodies, ReadyStart(), kMaxBody, Ending::kComplete));
}

TEST_CASE("Chunks are sent to the readiness port", "[ready-chunks-over-limit]") {
  Target target;
  target.Withstand(
      target.dispatcher().ready_address(),
      ChunkedBodies(kLargeBodies, ReadyStart(), kLargeChunk, kMaxBody / kLargeChunk, Ending::kComplete));
}

TEST_CASE("Heads of thousands of headers are sent to the readiness port", "[ready-heads]") {
  Target target;
  target.Withstand(target.dispatcher().ready_address(), EndlessHeads(kHeads, ReadyStart(), kHeadBytes));
}

TEST_CASE("More connections than there are descriptors at the readiness port", "[ready-connections]") {
  Target target;
  target.Withstand(target.dispatcher().ready_address(), SilentConnections(kManyConnections));
}

// ---- Internal port ----

TEST_CASE("Messages between dispatchers stop short", "[internal-frames-short]") {
  Target target;
  target.Withstand(target.dispatcher().internal_address(), UnfinishedFrames(kLargeBodies));
}

TEST_CASE("More connections than there are descriptors at the internal port", "[internal-connections]") {
  Target target;
  target.Withstand(target.dispatcher().internal_address(), SilentConnections(kManyConnections));
}

}  // namespace
}  // namespace lichenlug::crowds
