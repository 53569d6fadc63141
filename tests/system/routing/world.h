// A configuration, runners and requests for tests of the decisions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/decisions.h"

namespace lichenlug::routing {

// What is installed: a service `pool` with an engine and a service `desk` without one.
class Testbed {
 public:
  Testbed();

  messages::Configuration& configuration() { return *configuration_; }
  messages::RunnerRecord& AddRunner(const std::string& id, const std::string& service, int slots,
                                    const std::vector<std::string>& models);
  // Declares what is changed after it; the records known so far stay.
  messages::RunnerRecord& Runner(const std::string& id) { return runners_.at(id); }
  void Remove(const std::string& id) { runners_.erase(id); }

  std::shared_ptr<const Snapshot> Take() const;

  int live_dispatchers = 1;
  std::string zone = "here";
  Bounds bounds;
  bool runners_known = true;

 private:
  std::shared_ptr<messages::Configuration> configuration_;
  std::map<std::string, messages::RunnerRecord> runners_;
};

// A request of `pool` for a model, given as MODEL or MODEL/ADAPTER, or one of `desk` where it is empty.
Arrival Asking(RequestNumber number, Time now, const std::string& model);

template <typename T>
std::vector<T> Only(const std::vector<Decision>& decisions) {
  std::vector<T> only;
  for (const Decision& decision : decisions)
    if (const T* item = std::get_if<T>(&decision)) only.push_back(*item);
  return only;
}

inline constexpr Time kWorldTime = 1000 * kSecond;  // when most tests begin

// One dispatcher's decisions, at a time of its own.
class Dispatcher {
 public:
  // One that has run for long, or that starts at `started`.
  explicit Dispatcher(const Testbed& testbed, std::uint64_t seed = 7);
  Dispatcher(const Testbed& testbed, std::uint64_t seed, Time started);

  std::vector<Decision> Install(const Testbed& testbed);
  std::vector<Decision> Arrived(const Arrival& arrival);
  std::vector<Decision> Ended(const StartAttempt& attempt, AttemptOutcome outcome, bool final = false);
  std::vector<Decision> Serve(RequestNumber number);  // at its first runner
  std::vector<Decision> Gone(RequestNumber number);
  std::vector<Decision> Wait(Time span);  // with all timers on the way

  // The runner that a request for the model is sent to; empty: it is not sent.
  std::string Send(const std::string& model);

  Time now;
  RequestNumber next = 1;
  Decisions decisions;
};

}  // namespace lichenlug::routing
