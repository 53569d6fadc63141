// All deadlines of the process in one ordered structure, served by one Asio timer.
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
  using Key = std::pair<Time, std::uint64_t>;  // {0, 0} names nothing

  Deadlines(asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  Time Now() const { return clock_.Now(); }

  Key Add(Time at, std::function<void()> due);

  // Takes a deadline back, if it has not come yet, and clears the key.
  void Remove(Key* key);

  // Takes the old deadline of `key` back and hangs up a new one in its place.
  void Move(Key* key, Time at, std::function<void()> due);

 private:
  void Arm();
  void Serve();

  const Clock& clock_;
  asio::steady_timer timer_;
  std::map<Key, std::function<void()>> due_;
  std::uint64_t number_ = 0;
  Key armed_;
  bool serving_ = false;
};

}  // namespace lichenlug
