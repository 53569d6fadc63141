// The decision module of one service with its settings, request classes and timers.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "rookgw/brain.h"
#include "routing/decisions.h"

namespace lichenlug::routing {

// A refusal within 1/kAimDivisor of the objective leaves the client's retry enough time to succeed.
inline constexpr int kAimDivisor = 4;

// The module treats all requests of a class the same way. There are few classes, however many routes exist.
struct ClassKey {
  Time objective = 0;
  bool repeatable = false;
  bool stream = false;
  int precedence = 0;
  bool came_back = false;

  auto operator<=>(const ClassKey&) const = default;
  static ClassKey FromArrival(const Arrival& arrival);
};

class ServiceScheduler {
 public:
  struct Setup {
    std::uint64_t seed = 0;
    int live_dispatchers = 1;
    bool prefer_own_zone = false;  // prefer runners in the dispatcher's own zone
    Time silence = 0;  // a runner that shows no activity for this long with unstarted attempts is ejected
    ClassKey first_class;
  };

  ServiceScheduler(Time now, const Setup& setup);

  // Handles one event and appends the resulting actions, except timers, which are kept here.
  void HandleEvent(Time now, const rookgw::Event& event, std::vector<rookgw::Action>* actions);
  void FireTimers(Time now, std::vector<rookgw::Action>* actions);
  std::optional<Time> NextTimer() const;  // none while there are no requests

  int ClassOf(const ClassKey& key);  // adds a class if there is none like it
  void SetLiveDispatchers(int live) { scheduler_.SetInstances(live); }
  bool idle() const { return scheduler_.sizes().requests == 0; }

 private:
  void ExtractTimers(Time now, std::size_t from, std::vector<rookgw::Action>* actions);

  rookgw::Scheduler scheduler_;
  std::vector<ClassKey> classes_;                     // indexed by class number
  std::vector<std::pair<Time, std::string>> timers_;  // due time and token; only a few
};

}  // namespace lichenlug::routing
