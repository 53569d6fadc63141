// The event loop shared by all simulated parts. They run on the thread that waits here, so none needs a lock,
// and a test waits for events with a deadline instead of sleeping.
#pragma once

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <functional>

#include "base/clock.h"

namespace lichenlug::standins {

class Loop {
 public:
  using Condition = std::function<bool()>;

  asio::io_context& io() { return io_; }
  Time Now() const { return clock_.Now(); }

  // Processes events until `condition` holds; returns false if it does not within `timeout`.
  bool RunUntil(const Condition& condition, Time timeout) {
    const Time deadline = Now() + timeout;
    while (!condition()) {
      const Time remaining = deadline - Now();
      if (remaining <= 0) return false;
      if (io_.stopped()) io_.restart();
      io_.run_one_for(std::chrono::microseconds(std::min(remaining, kMaxStep)));
    }
    return true;
  }

  void RunFor(Time duration) {
    RunUntil([] { return false; }, duration);
  }

 private:
  static constexpr Time kMaxStep = 10 * kMillisecond;  // conditions also poll processes and files

  asio::io_context io_;
  Clock clock_;
};

}  // namespace lichenlug::standins
