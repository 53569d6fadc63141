#include "base/delay_estimate.h"

#include <catch2/catch.hpp>

namespace lichenlug {
namespace {

constexpr Time kMin = 400 * kMillisecond, kMax = kSecond;

TEST_CASE("the wait follows the recorded delays within its bounds") {
  DelayEstimate estimate(kMin, kMax);
  CHECK(estimate.Wait() == kMin);  // no delay recorded yet
  for (int response = 0; response < 10; ++response) estimate.Note(3 * kMillisecond);
  CHECK(estimate.Wait() == kMin);
  for (int response = 0; response < 30; ++response) estimate.Note(600 * kMillisecond);
  CHECK(estimate.Wait() > 600 * kMillisecond);
  CHECK(estimate.Wait() <= kMax);
  for (int response = 0; response < 200; ++response) estimate.Note(3 * kMillisecond);
  CHECK(estimate.Wait() == kMin);
}

TEST_CASE("a single late response increases the wait only temporarily") {
  DelayEstimate estimate(kMin, kMax);
  for (int response = 0; response < 50; ++response) estimate.Note(10 * kMillisecond);
  estimate.Note(900 * kMillisecond);
  CHECK(estimate.Wait() > kMin);
  for (int response = 0; response < 20; ++response) estimate.Note(10 * kMillisecond);
  CHECK(estimate.Wait() == kMin);
}

}  // namespace
}  // namespace lichenlug
