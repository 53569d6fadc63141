// Durations and link speeds that the testbed and its fault injection share.
#pragma once

#include "base/clock.h"
#include "lab/control/network.h"

namespace lichenlug::lab::control {

// A machine that has been undisturbed for this long counts as connected.
inline constexpr Time kConnectedAfter = 3 * kSecond;
// A machine counts as disturbed for this long after a restart.
inline constexpr Time kCatchUpTime = 4 * kSecond;
inline constexpr Time kStartSpread = 300 * kMillisecond;
inline constexpr LinkSpeed kFastLink{12.5};     // 100 Mbit/s
inline constexpr LinkSpeed kSlowedLink{0.125};  // 1 Mbit/s

}  // namespace lichenlug::lab::control
