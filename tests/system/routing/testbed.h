// Test fixtures for the routing decisions: a configuration, runners, requests and a dispatcher.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/decisions.h"

namespace lichenlug::routing {

// The state to install: a service `pool` with an engine, a service `desk` without one, and their runners.
class Testbed {
 public:
  Testbed();

  messages::Configuration& configuration() { return *configuration_; }
  messages::RunnerRecord& AddRunner(const std::string& id, const std::string& service, int slots,
                                    const std::vector<std::string>& models);
  // The runner's record, for changes. They have no effect on snapshots taken before.
  messages::RunnerRecord& Runner(const std::string& id) { return runners_.at(id); }
  void Remove(const std::string& id) { runners_.erase(id); }

  std::shared_ptr<const Snapshot> MakeSnapshot() const;

  int live_dispatchers = 1;
  std::string zone = "here";
  Bounds bounds;
  bool runners_known = true;

 private:
  std::shared_ptr<messages::Configuration> configuration_;
  std::map<std::string, messages::RunnerRecord> runners_;
};

// A request to `pool` for `model`, given as MODEL or MODEL/ADAPTER, or a request to `desk` if it is empty.
Arrival MakeArrival(RequestNumber number, Time now, const std::string& model);

template <typename T>
std::vector<T> DecisionsOfType(const std::vector<Decision>& decisions) {
  std::vector<T> matching;
  for (const Decision& decision : decisions)
    if (const T* item = std::get_if<T>(&decision)) matching.push_back(*item);
  return matching;
}

inline constexpr Time kStartTime = 1000 * kSecond;  // start time of most tests

// The decisions of one dispatcher with its own clock.
class TestDispatcher {
 public:
  // The first constructor makes a dispatcher that has run for a long time, the second one that starts at
  // `started`.
  explicit TestDispatcher(const Testbed& testbed, std::uint64_t seed = 7);
  TestDispatcher(const Testbed& testbed, std::uint64_t seed, Time started);

  std::vector<Decision> Install(const Testbed& testbed);
  std::vector<Decision> Arrived(const Arrival& arrival);
  std::vector<Decision> Ended(const StartAttempt& attempt, AttemptOutcome outcome, bool final = false);
  std::vector<Decision> CompleteFirstAttempt(RequestNumber number);  // its first attempt succeeds
  std::vector<Decision> Gone(RequestNumber number);
  std::vector<Decision> Advance(Time span);  // advances the clock and fires all timers that fall due

  // Sends a request for the model and returns the runner chosen; empty if none was.
  std::string SendRequest(const std::string& model);

  Time now;
  RequestNumber next_request = 1;
  Decisions decisions;
};

}  // namespace lichenlug::routing
