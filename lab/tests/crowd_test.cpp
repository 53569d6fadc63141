// Crowds of clients that misbehave, at the port of a real job dispatcher. With a crowd that stays connected,
// the process lives, keeps to its memory and descriptors and serves an ordinary job; without it, it gives
// back what it held. Nothing here depends on the machine's speed: the timeouts only matter for failures.
#include <gtest/gtest.h>

#include "lab/fleet/crowd_requests.h"
#include "lab/fleet/process_memory.h"
#include "lab/tests/tier.h"

namespace lichenlug::lab {
namespace {

constexpr std::size_t kKiB = 1024, kMiB = 1024 * kKiB;
// The limits of the machine in these tests' settings: the target that each test checks.
constexpr std::size_t kMemoryMb = 32, kDescriptors = 1024;
constexpr std::size_t kMaxBody = 64 * kKiB;   // of a job
constexpr std::size_t kHeadBytes = 16000;     // just below the limit of heads
constexpr std::size_t kDescriptorSlack = 16;  // connections to runners and discovery come and go
constexpr Time kStart = 20 * kSecond, kTimeout = 30 * kSecond;
constexpr Time kCrowdTimeout = 120 * kSecond;         // sanitizers are slow
constexpr Time kSampleInterval = 200 * kMillisecond;  // reading the table of connections takes long

// The sizes of the crowds: together far more bytes than the machine has memory for, or more connections than
// it has descriptors for clients.
constexpr int kBodies = 600, kLongBodies = 100, kHeads = 600, kManyConnections = 1100;
constexpr std::size_t kSmallChunks = 60'000;  // of one byte
constexpr std::size_t kLargeChunk = 8 * kKiB, kTooManyBytes = 4 * kMiB;

// AddressSanitizer adds to each allocation and keeps what was freed.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMemoryIsMeasured = false;
#else
constexpr bool kMemoryIsMeasured = true;
#endif

class JobDispatcher : public testing::Test {
 protected:
  JobDispatcher()
      : tier_({.processes = 1, .instances = 1, .sockets = kDescriptors, .memory_mb = kMemoryMb}) {}

  void SetUp() override {
    tier_.StartAll();
    ASSERT_TRUE(tier_.Until([this] { return tier_.Settled(); }, kStart));
    ServeJob();
    descriptors_before_ = tier_.process(0).Descriptors();
  }

  void Withstand(CrowdPlan plan) {
    MemoryWatch watch(&tier_.process(0), {tier_.address(0)});
    Crowd crowd(tier_.io, tier_.address(0), std::move(plan));
    EXPECT_TRUE(Until([&] { return crowd.Settled(); }, &watch));
    ASSERT_TRUE(tier_.process(0).Running());
    ServeJob();
    watch.Sample();
    if (kMemoryIsMeasured) {
      EXPECT_LE(watch.peak_bytes(), kMemoryMb * kMiB) << crowd.sent_bytes() << " sent";
    }
    EXPECT_LE(watch.peak_descriptors(), kDescriptors);
    crowd.Close();
    EXPECT_TRUE(Until(
        [&] { return tier_.process(0).Descriptors() <= descriptors_before_ + kDescriptorSlack; }, nullptr));
    const int pid = tier_.process(0).pid();
    if (kMemoryIsMeasured) {
      EXPECT_TRUE(Until([&] { return ResidentBytes(pid) <= kMemoryMb * kMiB / 2; }, nullptr))
          << ResidentBytes(pid);
    }
    ASSERT_TRUE(tier_.process(0).Running());
    ServeJob();
  }

  Tier tier_;

 private:
  // Samples the process's memory while it waits.
  template <typename Condition>
  bool Until(Condition condition, MemoryWatch* watch) {
    Time sampled_at = 0;
    return tier_.Until(
        [&] {
          if (watch != nullptr && tier_.Now() - sampled_at >= kSampleInterval)
            watch->Sample(), sampled_at = tier_.Now();
          return condition() || !tier_.process(0).Running();
        },
        kCrowdTimeout);
  }

  // A client tries again until its job is served.
  void ServeJob() {
    const int served = tier_.answers[0].served;
    const Time deadline = tier_.Now() + kTimeout;
    while (tier_.answers[0].served == served && tier_.Now() < deadline) {
      const auto ended = [this] {
        const auto& answers = tier_.answers[0];
        return answers.served + answers.refused + answers.failed + answers.broken;
      };
      const int before = ended();
      tier_.SendOnNewConnection(0);
      tier_.Until([&] { return ended() > before; }, kTimeout);
    }
    EXPECT_GT(tier_.answers[0].served, served);
  }

  std::size_t descriptors_before_ = 0;
};

RequestStart JobStart() {
  return "POST /publish HTTP/1.1\r\nHost: tier\r\nX-Call-Id: 00000000000000ff\r\nX-Budget: 2.000\r\n"
         "Cookie: obj=crowd\r\n";
}

TEST_F(JobDispatcher, ClientsAnnounceBodiesAndStopShort) {
  Withstand(AnnouncedBodies(kBodies, JobStart(), kMaxBody, Ending::kStopsShort));
}

TEST_F(JobDispatcher, ClientsSendWholeBodiesAtOnce) {
  Withstand(AnnouncedBodies(kBodies, JobStart(), kMaxBody, Ending::kComplete));
}

TEST_F(JobDispatcher, ClientsSendChunksAndStopShort) {
  Withstand(ChunkedBodies(kBodies, JobStart(), kLargeChunk, kMaxBody / kLargeChunk - 1, Ending::kStopsShort));
}

TEST_F(JobDispatcher, ClientsSendChunksToTheEnd) {
  Withstand(ChunkedBodies(kBodies, JobStart(), kLargeChunk, kMaxBody / kLargeChunk, Ending::kComplete));
}

TEST_F(JobDispatcher, ClientsSendVerySmallChunksAndStopShort) {
  Withstand(ChunkedBodies(kBodies, JobStart(), 1, kSmallChunks, Ending::kStopsShort));
}

TEST_F(JobDispatcher, ClientsSendVerySmallChunksToTheEnd) {
  Withstand(ChunkedBodies(kBodies, JobStart(), 1, kSmallChunks, Ending::kComplete));
}

TEST_F(JobDispatcher, ClientsAnnounceBodiesOverTheLimit) {
  Withstand(AnnouncedBodies(kLongBodies, JobStart(), kTooManyBytes, Ending::kComplete));
}

TEST_F(JobDispatcher, ClientsSendChunksOverTheLimit) {
  Withstand(
      ChunkedBodies(kLongBodies, JobStart(), kLargeChunk, kTooManyBytes / kLargeChunk, Ending::kComplete));
}

TEST_F(JobDispatcher, ClientsSendHeadsOfThousandsOfHeaders) {
  Withstand(EndlessHeads(kHeads, JobStart(), kHeadBytes));
}

TEST_F(JobDispatcher, MoreClientsThanThereAreDescriptorsSayNothing) {
  CrowdPlan plan;
  plan.connections = kManyConnections;
  Withstand(plan);
}

TEST_F(JobDispatcher, EndsOnSigtermBesideClientsThatStopShort) {
  Crowd crowd(tier_.io, tier_.address(0),
              AnnouncedBodies(kBodies, JobStart(), kMaxBody, Ending::kStopsShort));
  EXPECT_TRUE(tier_.Until([&] { return crowd.Settled(); }, kCrowdTimeout));
  ASSERT_TRUE(tier_.process(0).Running());
  tier_.process(0).Signal(SIGTERM);
  EXPECT_TRUE(tier_.Until([this] { return !tier_.process(0).Running(); }, kTimeout));
  EXPECT_EQ(tier_.process(0).status(), 0);
}

}  // namespace
}  // namespace lichenlug::lab
