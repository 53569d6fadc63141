// Malformed events: unknown request numbers, duplicate outcomes, out-of-range values.
#include <catch2/catch.hpp>
#include <random>

#include "testbed.h"

namespace lichenlug::routing {
namespace {

TEST_CASE("malformed events never break the decisions", "[mutation]") {
  Testbed testbed;
  for (int i = 0; i < 5; ++i) testbed.AddRunner("r" + std::to_string(i), "pool", 3, {"m1", "m2/a1"});
  testbed.AddRunner("d", "desk", 2, {});
  std::mt19937_64 random(3);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TestDispatcher dispatcher(testbed, seed);
    Testbed changed = testbed;
    for (int step = 0; step < 3000; ++step) {
      std::vector<Decision> out;
      const auto number = static_cast<RequestNumber>(random() % (1 + static_cast<unsigned>(step) / 4));
      const int attempt = static_cast<int>(random() % 5) - 1;
      switch (random() % 8) {
        case 0:
        case 1: {
          const char* requested_models[] = {"m1", "m2/a1", "m3", "", "m1/none", "nobody's"};
          Arrival arrival = MakeArrival(number, dispatcher.now, requested_models[random() % 6]);
          arrival.deadline += static_cast<Time>(random() % 14) * kSecond - 13 * kSecond;
          arrival.tries = static_cast<int>(random() % 5) - 1;
          arrival.precedence = static_cast<int>(random() % 400) - 100;
          arrival.objective = static_cast<Time>(random() % 1000) * kMillisecond - 100;
          arrival.repeatable = random() % 2 == 0;
          out = dispatcher.Arrived(arrival);
          break;
        }
        case 2:
        case 3:
          dispatcher.decisions.AttemptEnded(dispatcher.now, number, attempt,
                                            static_cast<AttemptOutcome>(random() % 8), random() % 2 == 0,
                                            &out);
          break;
        case 4:
          dispatcher.decisions.FirstEvent(dispatcher.now, number, attempt);
          break;
        case 5:
          out = dispatcher.Gone(number);
          break;
        case 6: {
          const std::string id = "r" + std::to_string(random() % 5);
          changed = testbed;
          if (random() % 2 == 0)
            changed.Remove(id);
          else
            changed.Runner(id).set_state(static_cast<messages::RunnerState>(random() % 4));
          changed.live_dispatchers = static_cast<int>(random() % 4) - 1;
          out = dispatcher.Install(changed);
          break;
        }
        default:
          out = dispatcher.Advance(static_cast<Time>(random() % 100) * kMillisecond);
      }
      for (const Decision& decision : out)
        if (const auto* start = std::get_if<StartAttempt>(&decision)) REQUIRE_FALSE(start->address.empty());
      dispatcher.decisions.RecentDemand(dispatcher.now);
    }
    // Whatever the events were, all requests have ended after their deadlines.
    dispatcher.Advance(30 * kSecond);
    for (RequestNumber number = 0; number < 800; ++number) dispatcher.Gone(number);
    for (const Decisions::Demand& demand : dispatcher.decisions.RecentDemand(dispatcher.now))
      CHECK(demand.running == 0);
  }
}

}  // namespace
}  // namespace lichenlug::routing
