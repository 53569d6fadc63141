#include "placement/load_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace lichenlug::placement {
namespace {

constexpr Time kWindow = 5 * kSecond, kLease = 3 * kSecond;

std::size_t MostInWindow(std::vector<Time> begun) {
  std::sort(begun.begin(), begun.end());
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < begun.size(); ++last) {
    while (begun[first] <= begun[last] - kWindow) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

TEST_CASE(
    "no sliding window holds more loads than the store allows, at any rate and over changes of holder") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const double rate = 0.05 * static_cast<double>(1 + random() % 200);
    std::vector<Time> begun;
    Time now = 1000 * kSecond;
    for (int holder = 0; holder < 6; ++holder) {
      LoadBudget budget(kWindow, 1.1, kLease);
      budget.SetRate(rate);
      if (holder > 0) budget.TakeOver(now);
      const Time end = now + kLease + static_cast<Time>(random() % 12) * kSecond;
      for (; now < end; now += 10 * kMillisecond) {
        if (random() % 3 != 0 || budget.Left(now) == 0) continue;
        const std::uint64_t load = budget.Begin(now);
        // Begins at some time before its answer, at the latest as the holder's lease ends.
        const Time answered = std::min(end, now + static_cast<Time>(random() % 900) * kMillisecond);
        begun.push_back(now + static_cast<Time>(random() % 1000) * (answered - now) / 1000);
        budget.Settle(load, answered);
      }
    }
    INFO("seed " << seed << " rate " << rate);
    CHECK(static_cast<double>(MostInWindow(begun)) <= rate * 5 * 1.1 + 3);
    CHECK(begun.size() > 3);
  }
}

TEST_CASE("a load that may still begin counts until it is settled, and a window longer") {
  LoadBudget budget(kWindow, 1.1, kLease);
  budget.SetRate(1);
  const int before = budget.Left(0);
  const std::uint64_t load = budget.Begin(0);
  CHECK(budget.Left(60 * kSecond) == before - 1);
  budget.Settle(load, 60 * kSecond);
  CHECK(budget.Left(64 * kSecond) == before - 1);
  CHECK(budget.Left(66 * kSecond) == before);
  budget.Expire(66 * kSecond);
  CHECK(budget.size() == 0);
}

}  // namespace
}  // namespace lichenlug::placement
