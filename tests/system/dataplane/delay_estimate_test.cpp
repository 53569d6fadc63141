#include "base/delay_estimate.h"

#include <catch2/catch.hpp>

namespace lichenlug {
namespace {

constexpr Time kLeast = 400 * kMillisecond, kMost = kSecond;

TEST_CASE("a wait follows the delays noted, within its bounds") {
  DelayEstimate estimate(kLeast, kMost);
  CHECK(estimate.Wait() == kLeast);  // nothing noted yet
  for (int answer = 0; answer < 10; ++answer) estimate.Note(3 * kMillisecond);
  CHECK(estimate.Wait() == kLeast);
  for (int answer = 0; answer < 30; ++answer) estimate.Note(600 * kMillisecond);
  CHECK(estimate.Wait() > 600 * kMillisecond);
  CHECK(estimate.Wait() <= kMost);
  for (int answer = 0; answer < 200; ++answer) estimate.Note(3 * kMillisecond);
  CHECK(estimate.Wait() == kLeast);
}

TEST_CASE("one late answer among many lets the wait grow for a while only") {
  DelayEstimate estimate(kLeast, kMost);
  for (int answer = 0; answer < 50; ++answer) estimate.Note(10 * kMillisecond);
  estimate.Note(900 * kMillisecond);
  CHECK(estimate.Wait() > kLeast);
  for (int answer = 0; answer < 20; ++answer) estimate.Note(10 * kMillisecond);
  CHECK(estimate.Wait() == kLeast);
}

}  // namespace
}  // namespace lichenlug
