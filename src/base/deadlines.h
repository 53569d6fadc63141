// All deadlines of the process in one ordered map, served by one Asio timer.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"

namespace lichenlug {

class Deadlines {
 public:
  using Key = std::pair<Time, std::uint64_t>;  // {0, 0} refers to no deadline

  Deadlines(asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  Time Now() const { return clock_.Now(); }

  Key Add(Time at, std::function<void()> due);

  // Cancels the deadline, if it has not fired yet, and clears the key.
  void Remove(Key* key);

  // Cancels the deadline of `key` and schedules a new one in its place.
  void Move(Key* key, Time at, std::function<void()> due);

 private:
  void Arm();
  void RunDue();

  const Clock& clock_;
  asio::steady_timer timer_;
  std::map<Key, std::function<void()>> due_;
  std::uint64_t last_id_ = 0;
  Key armed_;
  bool running_ = false;
};

}  // namespace lichenlug
