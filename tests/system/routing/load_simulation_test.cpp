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
class LoadSimulation {
 public:
  LoadSimulation(const Testbed& testbed, int dispatchers) {
    for (int i = 0; i < dispatchers; ++i)
      dispatchers_.push_back(std::make_unique<TestDispatcher>(testbed, i + 1));
  }

  // Sends `per_s` requests per second for `span`. Earlier models are more popular, and the dispatchers get
  // unequal shares.
  void Run(double per_s, Time span, const std::vector<std::string>& models, Time run_time) {
    std::exponential_distribution<double> interarrival_time(per_s / kSecond);
    std::vector<double> model_weights, shares;
    for (std::size_t i = 0; i < models.size(); ++i) model_weights.push_back(1.0 / static_cast<double>(i + 1));
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) shares.push_back(i % 3 == 0 ? 2 : 1);
    std::discrete_distribution<std::size_t> model(model_weights.begin(), model_weights.end());
    std::discrete_distribution<std::size_t> share(shares.begin(), shares.end());
    const Time start = dispatchers_[0]->now, end = start + span;
    Time next = start;
    while (next < end) {
      next += static_cast<Time>(interarrival_time(random_)) + 1;
      AdvanceTo(next, run_time);
      const std::size_t dispatcher_index = share(random_);
      ++arrived;
      ProcessDecisions(
          dispatcher_index,
          dispatchers_[dispatcher_index]->Arrived(MakeArrival(++last_request_, next, models[model(random_)])),
          run_time);
      if (next > start + span / 2) Sample();
    }
  }

  double MeanLoad() const { return samples_ == 0 ? 0 : sum_mean_ / samples_; }
  double MaxLoad() const { return samples_ == 0 ? 0 : sum_max_ / samples_; }

  std::size_t arrived = 0, refused = 0, failed = 0, found_full = 0;
  std::map<std::string, int> load;  // by runner
  int slots = 64;

 private:
  struct Completion {
    Time at;
    std::size_t dispatcher;
    StartAttempt attempt;
    bool operator>(const Completion& other) const { return at > other.at; }
  };

  void AdvanceTo(Time now, Time run_time) {
    while (!completions_.empty() && completions_.top().at <= now) {
      const Completion completion = completions_.top();
      completions_.pop();
      --load[completion.attempt.runner_id];
      TickAll(completion.at, run_time);
      ProcessDecisions(
          completion.dispatcher,
          dispatchers_[completion.dispatcher]->Ended(completion.attempt, AttemptOutcome::kServed, true),
          run_time);
    }
    TickAll(now, run_time);
  }

  void TickAll(Time now, Time run_time) {
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
      const std::optional<Time> due = dispatchers_[i]->decisions.NextTimer();
      dispatchers_[i]->now = now;
      if (due && *due <= now) ProcessDecisions(i, dispatchers_[i]->Advance(0), run_time);
    }
  }

  void ProcessDecisions(std::size_t dispatcher_index, std::vector<Decision> decisions, Time run_time) {
    for (std::size_t i = 0; i < decisions.size(); ++i) {
      refused += std::holds_alternative<Refuse>(decisions[i]) ? 1 : 0;
      failed += std::holds_alternative<Fail>(decisions[i]) ? 1 : 0;
      const auto* started = std::get_if<StartAttempt>(&decisions[i]);
      if (started == nullptr) continue;
      const StartAttempt attempt = *started;
      TestDispatcher& dispatcher = *dispatchers_[dispatcher_index];
      int& running = load[attempt.runner_id];
      if (running >= slots) {
        ++found_full;
        for (Decision& follow_up : dispatcher.Ended(attempt, AttemptOutcome::kNotRun))
          decisions.push_back(std::move(follow_up));
        continue;
      }
      ++running;
      dispatcher.decisions.FirstEvent(dispatcher.now, attempt.request, attempt.attempt);
      const double slowdown = 1 + static_cast<double>(running) / slots;
      completions_.push({dispatcher.now + static_cast<Time>(slowdown * static_cast<double>(run_time)),
                         dispatcher_index, attempt});
    }
  }

  void Sample() {
    double sum = 0, max_load = 0;
    for (const auto& [runner, running] : load) sum += running, max_load = std::max<double>(max_load, running);
    ++samples_;
    sum_mean_ += sum / static_cast<double>(load.size()), sum_max_ += max_load;
  }

  std::vector<std::unique_ptr<TestDispatcher>> dispatchers_;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
  std::mt19937_64 random_{5};
  RequestNumber last_request_ = 0;
  double samples_ = 0, sum_mean_ = 0, sum_max_ = 0;
};

Testbed NineRunnersOfModels(const std::vector<std::string>& models) {
  Testbed testbed;
  testbed.live_dispatchers = kDispatchers;
  for (int i = 0; i < 9; ++i) {
    std::vector<std::string> held;
    // The first model is on every runner, each further one on fewer runners.
    for (std::size_t model_index = 0; model_index < models.size(); ++model_index)
      if (model_index == 0 || (static_cast<std::size_t>(i) + model_index) % (model_index + 1) == 0)
        held.push_back(models[model_index]);
    testbed.AddRunner("r" + std::to_string(i), "pool", 64, held);
  }
  return testbed;
}

TEST_CASE("ten dispatchers spread their load over nine runners", "[simulation]") {
  const std::vector<std::string> models{"m1", "m2", "m3", "m4"};
  for (const double per_s : {60.0, 180.0, 240.0}) {
    LoadSimulation simulation(NineRunnersOfModels(models), kDispatchers);
    simulation.Run(per_s, 30 * kSecond, models, 1000 * kMillisecond);
    std::printf(
        "simulated %3.0f/s: %zu arrived, %zu refused, %zu failed, %zu found full, load mean %.1f, max %.1f "
        "of "
        "%d (%.2f)\n",
        per_s, simulation.arrived, simulation.refused, simulation.failed, simulation.found_full,
        simulation.MeanLoad(), simulation.MaxLoad(), simulation.slots,
        simulation.MaxLoad() / simulation.MeanLoad());
    CHECK(simulation.failed == 0);
    CHECK(simulation.refused < simulation.arrived / 100);
    CHECK(simulation.MaxLoad() / simulation.MeanLoad() < (per_s < 100 ? 4 : 2));
  }
}

TEST_CASE("in overload requests are refused, and the runners stay busy", "[simulation]") {
  LoadSimulation simulation(NineRunnersOfModels({"m1"}), kDispatchers);
  simulation.Run(600, 20 * kSecond, {"m1"}, 1000 * kMillisecond);
  std::printf(
      "simulated overload: %zu arrived, %zu refused, %zu failed, %zu found full, load mean %.1f of %d\n",
      simulation.arrived, simulation.refused, simulation.failed, simulation.found_full, simulation.MeanLoad(),
      simulation.slots);
  CHECK(simulation.failed == 0);
  CHECK(simulation.MeanLoad() > 0.85 * simulation.slots);
  CHECK(simulation.found_full < simulation.arrived / 5);
}

}  // namespace
}  // namespace lichenlug::routing
