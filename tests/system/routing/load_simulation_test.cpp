// Dispatchers and runners in virtual time: how evenly the load is spread, and what happens in overload.
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

constexpr int kDispatchers = 10;

// Simulates dispatchers and runners whose response time grows with their load.
class Play {
 public:
  Play(const Testbed& testbed, int dispatchers) {
    for (int i = 0; i < dispatchers; ++i)
      dispatchers_.push_back(std::make_unique<Dispatcher>(testbed, i + 1));
  }

  // Sends `per_s` requests per second for `span`. Earlier models are more popular, and the dispatchers get
  // unequal shares.
  void Run(double per_s, Time span, const std::vector<std::string>& models, Time run_time) {
    std::exponential_distribution<double> gap(per_s / kSecond);
    std::vector<double> model_weights, shares;
    for (std::size_t i = 0; i < models.size(); ++i) model_weights.push_back(1.0 / static_cast<double>(i + 1));
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) shares.push_back(i % 3 == 0 ? 2 : 1);
    std::discrete_distribution<std::size_t> model(model_weights.begin(), model_weights.end());
    std::discrete_distribution<std::size_t> share(shares.begin(), shares.end());
    const Time start = dispatchers_[0]->now, end = start + span;
    Time next = start;
    while (next < end) {
      next += static_cast<Time>(gap(random_)) + 1;
      AdvanceTo(next, run_time);
      const std::size_t which = share(random_);
      ++arrived;
      Take(which, dispatchers_[which]->Arrived(Asking(++number_, next, models[model(random_)])), run_time);
      if (next > start + span / 2) Sample();
    }
  }

  double MeanLoad() const { return samples_ == 0 ? 0 : sum_mean_ / samples_; }
  double MaxLoad() const { return samples_ == 0 ? 0 : sum_max_ / samples_; }

  std::size_t arrived = 0, refused = 0, failed = 0, full = 0;
  std::map<std::string, int> load;  // by runner
  int slots = 64;

 private:
  struct End {
    Time at;
    std::size_t dispatcher;
    StartAttempt attempt;
    bool operator>(const End& other) const { return at > other.at; }
  };

  void AdvanceTo(Time now, Time run_time) {
    while (!ends_.empty() && ends_.top().at <= now) {
      const End end = ends_.top();
      ends_.pop();
      --load[end.attempt.runner_id];
      TickAll(end.at, run_time);
      Take(end.dispatcher, dispatchers_[end.dispatcher]->Ended(end.attempt, AttemptOutcome::kServed, true),
           run_time);
    }
    TickAll(now, run_time);
  }

  void TickAll(Time now, Time run_time) {
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
      const std::optional<Time> due = dispatchers_[i]->decisions.NextTimer();
      dispatchers_[i]->now = now;
      if (due && *due <= now) Take(i, dispatchers_[i]->Wait(0), run_time);
    }
  }

  void Take(std::size_t which, std::vector<Decision> decisions, Time run_time) {
    for (std::size_t i = 0; i < decisions.size(); ++i) {
      refused += std::holds_alternative<Refuse>(decisions[i]) ? 1 : 0;
      failed += std::holds_alternative<Fail>(decisions[i]) ? 1 : 0;
      const auto* started = std::get_if<StartAttempt>(&decisions[i]);
      if (started == nullptr) continue;
      const StartAttempt attempt = *started;
      Dispatcher& dispatcher = *dispatchers_[which];
      int& running = load[attempt.runner_id];
      if (running >= slots) {
        ++full;
        for (Decision& more : dispatcher.Ended(attempt, AttemptOutcome::kNotRun))
          decisions.push_back(std::move(more));
        continue;
      }
      ++running;
      dispatcher.decisions.FirstEvent(dispatcher.now, attempt.request, attempt.attempt);
      const double slower = 1 + static_cast<double>(running) / slots;
      ends_.push(
          {dispatcher.now + static_cast<Time>(slower * static_cast<double>(run_time)), which, attempt});
    }
  }

  void Sample() {
    double sum = 0, most = 0;
    for (const auto& [runner, running] : load) sum += running, most = std::max<double>(most, running);
    ++samples_;
    sum_mean_ += sum / static_cast<double>(load.size()), sum_max_ += most;
  }

  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::mt19937_64 random_{5};
  RequestNumber number_ = 0;
  double samples_ = 0, sum_mean_ = 0, sum_max_ = 0;
};

Testbed NineRunnersOfModels(const std::vector<std::string>& models) {
  Testbed testbed;
  testbed.live_dispatchers = kDispatchers;
  for (int i = 0; i < 9; ++i) {
    std::vector<std::string> held;
    // The first model is on every runner, each further one on fewer runners.
    for (std::size_t m = 0; m < models.size(); ++m)
      if (m == 0 || (static_cast<std::size_t>(i) + m) % (m + 1) == 0) held.push_back(models[m]);
    testbed.AddRunner("r" + std::to_string(i), "pool", 64, held);
  }
  return testbed;
}

TEST_CASE("ten dispatchers spread their load over nine runners", "[simulation]") {
  const std::vector<std::string> models{"m1", "m2", "m3", "m4"};
  for (const double per_s : {60.0, 180.0, 240.0}) {
    Play play(NineRunnersOfModels(models), kDispatchers);
    play.Run(per_s, 30 * kSecond, models, 1000 * kMillisecond);
    std::printf(
        "simulated %3.0f/s: %zu arrived, %zu refused, %zu failed, %zu found full, load mean %.1f, max %.1f "
        "of "
        "%d (%.2f)\n",
        per_s, play.arrived, play.refused, play.failed, play.full, play.MeanLoad(), play.MaxLoad(),
        play.slots, play.MaxLoad() / play.MeanLoad());
    CHECK(play.failed == 0);
    CHECK(play.refused < play.arrived / 100);
    CHECK(play.MaxLoad() / play.MeanLoad() < (per_s < 100 ? 4 : 2));
  }
}

TEST_CASE("in overload requests are refused, and the runners stay busy", "[simulation]") {
  Play play(NineRunnersOfModels({"m1"}), kDispatchers);
  play.Run(600, 20 * kSecond, {"m1"}, 1000 * kMillisecond);
  std::printf(
      "simulated overload: %zu arrived, %zu refused, %zu failed, %zu found full, load mean %.1f of %d\n",
      play.arrived, play.refused, play.failed, play.full, play.MeanLoad(), play.slots);
  CHECK(play.failed == 0);
  CHECK(play.MeanLoad() > 0.85 * play.slots);
  CHECK(play.full < play.arrived / 5);
}

}  // namespace
}  // namespace lichenlug::routing
