// When a dispatcher becomes ready, and when its drain is complete.
#include "node/lifecycle.h"

#include <catch2/catch.hpp>

namespace lichenlug::node {
namespace {

constexpr Time kGrace = 12 * kSecond;
constexpr Time kStart = 100 * kSecond;
constexpr Lifecycle::ReadinessConditions kAll{true, true, true};

TEST_CASE("a dispatcher becomes ready once, when configuration and runners are known") {
  Lifecycle lifecycle(kGrace);
  CHECK_FALSE(lifecycle.BecomesReady({false, true, true}));
  CHECK_FALSE(lifecycle.BecomesReady({true, false, true}));
  CHECK_FALSE(lifecycle.BecomesReady({true, true, false}));
  CHECK_FALSE(lifecycle.has_started());
  CHECK(lifecycle.BecomesReady(kAll));
  CHECK(lifecycle.is_ready());
  CHECK_FALSE(lifecycle.BecomesReady(kAll));
}

TEST_CASE("a draining dispatcher is not ready and does not become ready") {
  Lifecycle lifecycle(kGrace);
  SECTION("from the start") {}
  SECTION("after it was ready") { REQUIRE(lifecycle.BecomesReady(kAll)); }
  CHECK(lifecycle.BeginDrain(kStart));
  CHECK_FALSE(lifecycle.BeginDrain(kStart + kSecond));
  CHECK_FALSE(lifecycle.is_ready());
  CHECK(lifecycle.has_started());
  CHECK_FALSE(lifecycle.BecomesReady(kAll));
}

TEST_CASE("a drain lasts until the platform has noticed it, even if no work is pending") {
  Lifecycle lifecycle(kGrace);
  CHECK_FALSE(lifecycle.MayExit(kStart, {}));
  lifecycle.BeginDrain(kStart);
  CHECK_FALSE(lifecycle.MayExit(kStart + 2 * kSecond, {}));
  CHECK(lifecycle.MayExit(kStart + 2500 * kMillisecond, {}));
}

TEST_CASE("a drain waits for requests until shortly before SIGKILL, and for votes up to 5 s") {
  Lifecycle lifecycle(kGrace);
  lifecycle.BeginDrain(kStart);
  CHECK_FALSE(lifecycle.MayExit(kStart + 11 * kSecond, {.requests = true}));
  CHECK(lifecycle.MayExit(kStart + 11500 * kMillisecond, {.requests = true, .votes = true}));
  CHECK_FALSE(lifecycle.MayExit(kStart + 4900 * kMillisecond, {.votes = true}));
  CHECK(lifecycle.MayExit(kStart + 5 * kSecond, {.votes = true}));
}

TEST_CASE("requests may stop once nothing else delays the exit, and only then") {
  Lifecycle lifecycle(kGrace);
  CHECK_FALSE(lifecycle.MayStopRequests(kStart, /*votes=*/false));
  lifecycle.BeginDrain(kStart);
  CHECK_FALSE(lifecycle.MayStopRequests(kStart + 2 * kSecond, /*votes=*/false));
  CHECK(lifecycle.MayStopRequests(kStart + 2500 * kMillisecond, /*votes=*/false));
  CHECK_FALSE(lifecycle.MayStopRequests(kStart + 4900 * kMillisecond, /*votes=*/true));
  CHECK(lifecycle.MayStopRequests(kStart + 5 * kSecond, /*votes=*/true));
}

TEST_CASE("requests get their final answers before the process exits for want of time") {
  Lifecycle lifecycle(kGrace);
  CHECK_FALSE(lifecycle.MustStopRequests(kStart));
  lifecycle.BeginDrain(kStart);
  CHECK_FALSE(lifecycle.MustStopRequests(kStart + 10900 * kMillisecond));
  const Time last_answers = kStart + 11200 * kMillisecond;
  CHECK(lifecycle.MustStopRequests(last_answers));
  CHECK_FALSE(lifecycle.MayExit(last_answers, {.requests = true}));
}

TEST_CASE("a second SIGTERM does not restart the drain") {
  Lifecycle lifecycle(kGrace);
  lifecycle.BeginDrain(kStart);
  lifecycle.BeginDrain(kStart + 2 * kSecond);
  CHECK(lifecycle.MayExit(kStart + 2500 * kMillisecond, {}));
}

}  // namespace
}  // namespace lichenlug::node
