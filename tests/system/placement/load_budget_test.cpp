#include "placement/load_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "duties/load_history.h"

namespace lichenlug::placement {
namespace {

constexpr Time kWindow = 5 * kSecond, kLease = 3 * kSecond;

std::size_t MaxInWindow(std::vector<Time> begun) {
  std::sort(begun.begin(), begun.end());
  std::size_t max_count = 0;
  for (std::size_t first = 0, last = 0; last < begun.size(); ++last) {
    while (begun[first] <= begun[last] - kWindow) ++first;
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

TEST_CASE("no sliding window exceeds the store's load limit, at any rate and across changes of the holder") {
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
        if (random() % 3 != 0 || budget.Remaining(now) == 0) continue;
        const std::uint64_t load = budget.Begin(now);
        // The load begins before its answer, and no later than the holder's lease ends.
        const Time answered = std::min(end, now + static_cast<Time>(random() % 900) * kMillisecond);
        begun.push_back(now + static_cast<Time>(random() % 1000) * (answered - now) / 1000);
        budget.Settle(load, answered);
      }
    }
    INFO("seed " << seed << " rate " << rate);
    CHECK(static_cast<double>(MaxInWindow(begun)) <= rate * 5 * 1.1 + 3);
    CHECK(begun.size() > 3);
  }
}

TEST_CASE("a load that may still begin counts until one window after it is settled") {
  LoadBudget budget(kWindow, 1.1, kLease);
  budget.SetRate(1);
  const int before = budget.Remaining(0);
  const std::uint64_t load = budget.Begin(0);
  CHECK(budget.Remaining(60 * kSecond) == before - 1);
  budget.Settle(load, 60 * kSecond);
  CHECK(budget.Remaining(64 * kSecond) == before - 1);
  CHECK(budget.Remaining(66 * kSecond) == before);
  budget.Expire(66 * kSecond);
  CHECK(budget.size() == 0);
}

// One holder at a time renews its lease every second, publishes its loads with it, and ends at a random time.
struct Register {
  std::optional<messages::LoadHistory> published;
  Time renewed_at = 0;
};

void SimulateHolder(std::mt19937_64* random, double rate, Time* now, Register* lease,
                    std::vector<Time>* begun) {
  LoadBudget budget(kWindow, 1.1, kLease);
  budget.SetRate(rate);
  if (lease->published) {
    duties::AgeLoads(*now - lease->renewed_at, &*lease->published);
    budget.Inherit(*now, *lease->published);
    budget.SetAllowance(*now, static_cast<int>(lease->published->allowance()));
  } else if (!begun->empty()) {
    budget.TakeOver(*now);
  }
  lease->renewed_at = *now;
  const Time end = *now + kSecond / 2 + static_cast<Time>((*random)() % 12'000) * kMillisecond;
  for (; *now < end; *now += 10 * kMillisecond) {
    if (*now >= lease->renewed_at + kLease / 3) {
      lease->published = budget.History(*now);  // chosen at once
      lease->renewed_at = *now;
      budget.SetAllowance(*now, static_cast<int>(lease->published->allowance()));
    }
    if ((*random)() % 3 != 0 || budget.Remaining(*now) == 0) continue;
    const std::uint64_t load = budget.Begin(*now);
    // The load begins before its answer, or before the holder ends if that is earlier.
    const Time answered = *now + static_cast<Time>((*random)() % 900) * kMillisecond;
    const Time latest = std::min(end, answered);
    begun->push_back(*now + static_cast<Time>((*random)() % 1000) * (latest - *now) / 1000);
    if (answered < end) budget.Settle(load, answered);
  }
}

TEST_CASE("a holder that inherits the published loads keeps the limit, whenever its predecessor ended") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const double rate = 0.05 * static_cast<double>(1 + random() % 200);
    std::vector<Time> begun;
    Register lease;
    Time now = 1000 * kSecond;
    for (int holder = 0; holder < 8; ++holder) {
      SimulateHolder(&random, rate, &now, &lease, &begun);
      now += static_cast<Time>(random() % 4) * kSecond;
    }
    INFO("seed " << seed << " rate " << rate);
    CHECK(static_cast<double>(MaxInWindow(begun)) <= rate * 5 * 1.1 + 3);
    CHECK(begun.size() > 3);
  }
}

TEST_CASE("a holder that takes over seconds after the last load has nearly its full budget") {
  LoadBudget before(kWindow, 1.1, kLease);
  before.SetRate(5.7);
  while (before.Remaining(0) > 0) before.Settle(before.Begin(0), 0);
  messages::LoadHistory published = before.History(kSecond);
  published.set_allowance(7);
  duties::AgeLoads(6 * kSecond, &published);
  LoadBudget after(kWindow, 1.1, kLease);
  after.SetRate(5.7);
  after.Inherit(7 * kSecond, published);
  CHECK(after.Remaining(7 * kSecond) == 29 - 7);
}

TEST_CASE("no more loads begin than the last renewal allowed") {
  LoadBudget budget(kWindow, 1.1, kLease);
  budget.SetRate(5.7);
  budget.SetAllowance(0, 0);
  CHECK(budget.Remaining(0) == 0);
  budget.SetAllowance(kSecond, 2);
  budget.Begin(kSecond);
  CHECK(budget.Remaining(kSecond) == 1);
  budget.Begin(kSecond);
  CHECK(budget.Remaining(kSecond) == 0);
  budget.SetAllowance(2 * kSecond, 2);
  CHECK(budget.Remaining(2 * kSecond) == 2);
}

}  // namespace
}  // namespace lichenlug::placement
