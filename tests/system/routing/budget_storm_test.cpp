// Failures of all requests at many dispatchers, which share a retry budget without coordination.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <deque>
#include <random>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

constexpr int kDispatchers = 10;
constexpr Time kTick = 10 * kMillisecond;

// Compares the retries in each window with what the budget allows there.
class RetryBudgetChecker {
 public:
  explicit RetryBudgetChecker(const Bounds& bounds) : bounds_(bounds) {}
  void AddRequest(Time now) { requests_.push_back(now); }
  void AddRetry(Time now) { retries_.push_back(now); }

  // The maximum of retries / allowed retries over all windows that end with a retry.
  double MaxUsage() const {
    double max_usage = 0;
    const auto count = [](const std::deque<Time>& times, Time from, Time to) {
      return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) -
                                 std::upper_bound(times.begin(), times.end(), from));
    };
    const Time window = bounds_.retry_window;
    for (Time end : retries_) {
      const double max_requests =
          std::max({count(requests_, end - window, end), count(requests_, end - 2 * window, end - window),
                    count(requests_, end - 3 * window / 2, end - window / 2)});
      const double allowed = bounds_.retry_ratio * max_requests + bounds_.retry_slack;
      max_usage = std::max(max_usage, count(retries_, end - window, end) / allowed);
    }
    return max_usage;
  }
  std::size_t retries() const { return retries_.size(); }

 private:
  Bounds bounds_;
  std::deque<Time> requests_, retries_;
};

TEST_CASE("all dispatchers together stay within the retry budget during a retry storm", "[storm]") {
  Testbed testbed;
  for (int i = 0; i < 9; ++i) testbed.AddRunner("r" + std::to_string(i), "pool", 64, {"m1"});
  testbed.live_dispatchers = kDispatchers;
  std::vector<std::unique_ptr<TestDispatcher>> dispatchers;
  for (int i = 0; i < kDispatchers; ++i) {
    dispatchers.push_back(std::make_unique<TestDispatcher>(testbed, i + 1));
  }
  std::mt19937_64 random(11);
  RetryBudgetChecker checker(testbed.bounds);
  RequestNumber number = 0;
  std::size_t refused = 0;
  for (Time now = kStartTime; now < kStartTime + 60 * kSecond; now += kTick) {
    const Time second = (now - kStartTime) / kSecond;
    // A traffic spike, a pause, and wrong views of the number of dispatchers: in truth all of them are
    // running.
    const double per_tick = second < 15 ? 0.05 : second < 25 ? 0.5 : second < 40 ? 0.002 : 0.1;
    if (now % (7 * kSecond) == 0) {
      testbed.live_dispatchers = second % 2 == 0 || second > 42 ? 4 : kDispatchers;
      for (auto& dispatcher : dispatchers) dispatcher->Install(testbed);
    }
    if (second == 30 && now % kSecond == 0)
      for (int i = 0; i < 3; ++i) dispatchers[i] = std::make_unique<TestDispatcher>(testbed, 100 + i, now);
    for (auto& dispatcher : dispatchers) {
      dispatcher->now = now;
      std::bernoulli_distribution arrives(per_tick);
      for (int k = 0; k < 5; ++k) {
        if (!arrives(random)) continue;
        Arrival arrival = MakeArrival(++number, now, "m1");
        arrival.tries = 4;
        checker.AddRequest(now);
        std::vector<Decision> pending = dispatcher->Arrived(arrival);
        // Every attempt fails, in one of two ways, and is retried as long as that is allowed.
        for (std::size_t index = 0; index < pending.size(); ++index) {
          refused += std::holds_alternative<Refuse>(pending[index]) ? 1 : 0;
          const auto* started = std::get_if<StartAttempt>(&pending[index]);
          if (started == nullptr) continue;
          if (started->attempt > 0) checker.AddRetry(now);
          const StartAttempt attempt = *started;
          const auto outcome = random() % 2 == 0 ? AttemptOutcome::kBroken : AttemptOutcome::kNotRun;
          for (Decision& decision : dispatcher->Ended(attempt, outcome))
            pending.push_back(std::move(decision));
        }
      }
      for (const Decision& decision : dispatcher->Advance(0)) {
        const auto* started = std::get_if<StartAttempt>(&decision);
        if (started == nullptr) continue;
        if (started->attempt > 0) checker.AddRetry(now);
        dispatcher->Ended(*started, AttemptOutcome::kNotRun, true);
      }
    }
  }
  std::printf("storm: %zu retries of %llu requests, %zu refused, worst window at %.2f of the budget\n",
              checker.retries(), static_cast<unsigned long long>(number), refused, checker.MaxUsage());
  CHECK(checker.retries() > 100);
  CHECK(checker.MaxUsage() <= 1.0);
}

}  // namespace
}  // namespace lichenlug::routing
