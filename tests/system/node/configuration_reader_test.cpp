// When the reader starts a read of the newest configuration from its register.
#include "node/configuration_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace lichenlug::node {
namespace {

constexpr Time kStart = 100 * kSecond;
constexpr std::uint64_t kSeed = 5;
constexpr std::size_t kBytes = 30'000;   // to send a configuration to all replicas
constexpr Time kLongest = 10 * kSecond;  // any wait of the reader is shorter

// The start of the next read, if the host wakes at NextTimer().
std::optional<Time> BeginNext(ConfigurationReader* reader, Time now, bool push) {
  const std::optional<Time> timer = reader->NextTimer();
  if (!timer) return std::nullopt;
  const Time at = std::max(now, *timer);
  const auto read = reader->Next(at);
  REQUIRE(read);
  CHECK(read->push == push);
  CHECK(read->deadline > at);
  return at;
}

ConfigurationReader ConfirmedReader() {
  ConfigurationReader reader(kSeed);
  REQUIRE(reader.Next(kStart));
  reader.Confirmed();
  reader.Completed(kStart, /*answered=*/true);
  return reader;
}

TEST_CASE("the configuration is read repeatedly until a majority confirms it") {
  ConfigurationReader reader(kSeed);
  Time now = kStart;
  for (int round = 0; round < 5; ++round) {
    const std::optional<Time> begun = BeginNext(&reader, now, /*push=*/false);
    REQUIRE(begun);
    CHECK(*begun - now < kSecond);
    CHECK_FALSE(reader.confirmed());
    CHECK_FALSE(reader.Next(*begun + kLongest));  // one at a time
    now = *begun + 50 * kMillisecond;
    reader.Completed(now, round == 4);  // the last read finds an empty register, so another read follows
  }
  REQUIRE(BeginNext(&reader, now, /*push=*/false));
  reader.Confirmed();
  reader.Completed(now, /*answered=*/true);
  CHECK(reader.confirmed());
  CHECK_FALSE(reader.Next(now + kLongest));
  CHECK_FALSE(reader.NextTimer());
}

TEST_CASE("the configuration is read immediately when the founding group becomes known") {
  ConfigurationReader reader(kSeed);
  REQUIRE(reader.Next(kStart));
  reader.Completed(kStart, /*answered=*/false);
  CHECK_FALSE(reader.Next(kStart + kMillisecond));
  reader.RegistersKnown(kStart + kMillisecond);
  CHECK(reader.Next(kStart + kMillisecond));
}

TEST_CASE("a configuration that was accepted here and distributed by nobody is read and distributed") {
  ConfigurationReader reader = ConfirmedReader();
  reader.OnAcceptRequest(kStart, kBytes);
  CHECK_FALSE(reader.Next(kStart));  // its proposer has some time to distribute it
  reader.OnAcceptRequest(kStart + 200 * kMillisecond, kBytes);
  const std::optional<Time> begun = BeginNext(&reader, kStart, /*push=*/true);
  REQUIRE(begun);
  CHECK(*begun - kStart > 600 * kMillisecond);  // the later accept came from a live proposer
  CHECK(*begun - kStart < 1200 * kMillisecond);
  reader.Completed(*begun, /*answered=*/true);
  CHECK_FALSE(reader.NextTimer());
}

TEST_CASE("a read after an accept that no majority answers is retried") {
  ConfigurationReader reader = ConfirmedReader();
  reader.OnAcceptRequest(kStart, kBytes);
  Time now = kStart;
  for (int round = 0; round < 3; ++round) {
    const std::optional<Time> begun = BeginNext(&reader, now, /*push=*/true);
    REQUIRE(begun);
    reader.Completed(*begun, /*answered=*/false);
    now = *begun;
  }
}

TEST_CASE("an accepted configuration that is distributed in time is not read") {
  ConfigurationReader reader = ConfirmedReader();
  reader.OnAcceptRequest(kStart, kBytes);
  reader.Installed();
  CHECK_FALSE(reader.NextTimer());
  CHECK_FALSE(reader.Next(kStart + kLongest));
}

TEST_CASE("no timer is set while a read is in flight, even if the next one is overdue") {
  ConfigurationReader reader(kSeed);
  REQUIRE(reader.Next(kStart));
  reader.OnAcceptRequest(kStart, kBytes);
  CHECK_FALSE(reader.NextTimer());
  CHECK_FALSE(reader.Next(kStart + kLongest));
  reader.Completed(kStart + kLongest, /*answered=*/false);
  CHECK(BeginNext(&reader, kStart + kLongest, /*push=*/true) == kStart + kLongest);
}

TEST_CASE("an accepted configuration is read within 2 s of the first accept, however many follow") {
  ConfigurationReader reader = ConfirmedReader();
  Time now = kStart;
  for (; now < kStart + 1900 * kMillisecond; now += 100 * kMillisecond) {
    reader.OnAcceptRequest(now, kBytes);
    REQUIRE_FALSE(reader.Next(now));
  }
  const std::optional<Time> begun = BeginNext(&reader, now, /*push=*/true);
  REQUIRE(begun);
  CHECK(*begun - kStart <= 2 * kSecond);
}

TEST_CASE("replicas read at random times, later for a configuration that takes longer to send") {
  const auto waits = [](std::size_t bytes) {
    std::vector<Time> all;
    for (std::uint64_t seed = 1; seed <= 7; ++seed) {
      ConfigurationReader reader(seed);
      REQUIRE(reader.Next(kStart));
      reader.Confirmed();
      reader.Completed(kStart, /*answered=*/true);
      reader.OnAcceptRequest(kStart, bytes);
      all.push_back(*reader.NextTimer() - kStart);
    }
    std::sort(all.begin(), all.end());
    return all;
  };
  const std::vector<Time> of_small = waits(1'000), of_large = waits(500'000);
  CHECK(of_small[1] - of_small[0] > 5 * kMillisecond);
  CHECK(of_small.back() < of_large.front());
  CHECK(of_large.back() <= 2 * kSecond);
}

}  // namespace
}  // namespace lichenlug::node
