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
class BudgetRule {
 public:
  explicit BudgetRule(const Bounds& bounds) : bounds_(bounds) {}
  void Request(Time now) { requests_.push_back(now); }
  void Repeat(Time now) { retries_.push_back(now); }

  // The maximum of retries / allowed retries over all windows that end with a retry.
  double Worst() const {
    double worst = 0;
    const auto count = [](const std::deque<Time>& times, Time from, Time to) {
      return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) -
                                 std::upper_bound(times.begin(), times.end(), from));
    };
    const Time w = bounds_.retry_window;
    for (Time end : retries_) {
      const double most = std::max({count(requests_, end - w, end), count(requests_, end - 2 * w, end - w),
                                    count(requests_, end - 3 * w / 2, end - w / 2)});
      const double allowed = bounds_.retry_ratio * most + bounds_.retry_slack;
      worst = std::max(worst, count(retries_, end - w, end) / allowed);
    }
    return worst;
  }
  std::size_t repeats() const { return retries_.size(); }

 private:
  Bounds bounds_;
  std::deque<Time> requests_, retries_;
};

TEST_CASE("all dispatchers together stay within the retry budget during a retry storm", "[storm]") {
  Testbed testbed;
  for (int i = 0; i < 9; ++i) testbed.AddRunner("r" + std::to_string(i), "pool", 64, {"m1"});
  testbed.live_dispatchers = kDispatchers;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  for (int i = 0; i < kDispatchers; ++i) {
    dispatchers.push_back(std::make_unique<Dispatcher>(testbed, i + 1));
  }
  std::mt19937_64 random(11);
  BudgetRule rule(testbed.bounds);
  RequestNumber number = 0;
  std::size_t refused = 0;
  for (Time now = kWorldTime; now < kWorldTime + 60 * kSecond; now += kTick) {
    const Time second = (now - kWorldTime) / kSecond;
    // A traffic spike, a pause, and wrong views of the number of dispatchers: in truth all of them are
    // running.
    const double per_tick = second < 15 ? 0.05 : second < 25 ? 0.5 : second < 40 ? 0.002 : 0.1;
    if (now % (7 * kSecond) == 0) {
      testbed.live_dispatchers = second % 2 == 0 || second > 42 ? 4 : kDispatchers;
      for (auto& dispatcher : dispatchers) dispatcher->Install(testbed);
    }
    if (second == 30 && now % kSecond == 0)
      for (int i = 0; i < 3; ++i) dispatchers[i] = std::make_unique<Dispatcher>(testbed, 100 + i, now);
    for (auto& dispatcher : dispatchers) {
      dispatcher->now = now;
      std::bernoulli_distribution arrives(per_tick);
      for (int k = 0; k < 5; ++k) {
        if (!arrives(random)) continue;
        Arrival arrival = Asking(++number, now, "m1");
        arrival.tries = 4;
        rule.Request(now);
        std::vector<Decision> todo = dispatcher->Arrived(arrival);
        // Every attempt fails, in one of two ways, and is retried as long as that is allowed.
        for (std::size_t at = 0; at < todo.size(); ++at) {
          refused += std::holds_alternative<Refuse>(todo[at]) ? 1 : 0;
          const auto* started = std::get_if<StartAttempt>(&todo[at]);
          if (started == nullptr) continue;
          if (started->attempt > 0) rule.Repeat(now);
          const StartAttempt attempt = *started;
          const auto outcome = random() % 2 == 0 ? AttemptOutcome::kBroken : AttemptOutcome::kNotRun;
          for (Decision& decision : dispatcher->Ended(attempt, outcome)) todo.push_back(std::move(decision));
        }
      }
      for (const Decision& decision : dispatcher->Wait(0)) {
        const auto* started = std::get_if<StartAttempt>(&decision);
        if (started == nullptr) continue;
        if (started->attempt > 0) rule.Repeat(now);
        dispatcher->Ended(*started, AttemptOutcome::kNotRun, true);
      }
    }
  }
  std::printf("storm: %zu repeats of %llu requests, %zu refused, worst window at %.2f of the budget\n",
              rule.repeats(), static_cast<unsigned long long>(number), refused, rule.Worst());
  CHECK(rule.repeats() > 100);
  CHECK(rule.Worst() <= 1.0);
}

}  // namespace
}  // namespace lichenlug::routing
