// The decision module of one service: its settings, its classes of requests and its timers.
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

// Requests of one class are alike to the module. Few, however many routes there are.
struct ClassKey {
  Time objective = 0;
  bool repeatable = false;
  bool stream = false;
  int precedence = 0;
  bool came_back = false;

  auto operator<=>(const ClassKey&) const = default;
  static ClassKey Of(const Arrival& arrival);
};

class ServiceScheduler {
 public:
  struct Setup {
    std::uint64_t seed = 0;
    int live_dispatchers = 1;
    bool zoned = false;  // runners of the own zone are preferred
    Time silence = 0;    // a runner this long without a sign of life while it should begin is passed over
    ClassKey first_class;
  };

  ServiceScheduler(Time now, const Setup& setup);

  // Tells one event and appends what is to be done; timers are kept here.
  void Tell(Time now, const rookgw::Event& event, std::vector<rookgw::Action>* actions);
  void FireTimers(Time now, std::vector<rookgw::Action>* actions);
  std::optional<Time> NextTimer() const;  // none while there are no requests

  int ClassOf(const ClassKey& key);  // a new one where there is none like it
  void SetLiveDispatchers(int live) { scheduler_.SetInstances(live); }
  bool idle() const { return scheduler_.sizes().requests == 0; }

 private:
  void KeepTimers(Time now, std::size_t from, std::vector<rookgw::Action>* actions);

  rookgw::Scheduler scheduler_;
  std::vector<ClassKey> classes_;                     // by number
  std::vector<std::pair<Time, std::string>> timers_;  // a few
};

}  // namespace lichenlug::routing
