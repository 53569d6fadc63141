// The process's clock: Unix microseconds, read once at startup and advanced by the steady clock, so that a
// step of the system clock doesn't move deadlines.
#pragma once

#include <chrono>
#include <cstdint>

namespace lichenlug {

using Time = std::int64_t;  // microseconds; a point in time or a duration
inline constexpr Time kMillisecond = 1000, kSecond = 1000 * kMillisecond;

class Clock {
 public:
  using Steady = std::chrono::steady_clock;

  Time Now() const { return unix_at_start_ + Micros(Steady::now() - steady_at_start_); }
  Steady::time_point ToSteady(Time at) const {
    return steady_at_start_ + std::chrono::microseconds(at - unix_at_start_);
  }

 private:
  template <typename Span>
  static Time Micros(Span span) {
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
  }

  Time unix_at_start_ = Micros(std::chrono::system_clock::now().time_since_epoch());
  Steady::time_point steady_at_start_ = Steady::now();
};

}  // namespace lichenlug
