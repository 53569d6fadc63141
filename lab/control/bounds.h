// Spans and link speeds that the world and the troubles that befall it share.
#pragma once

#include "base/clock.h"
#include "lab/control/network.h"

namespace lichenlug::lab::control {

inline constexpr Time kContact = 3 * kSecond;  // without trouble: in touch
inline constexpr Time kCatchUp = 4 * kSecond;  // after its return a machine still counts as lost
inline constexpr Time kStartSpread = 300 * kMillisecond;
inline constexpr LinkSpeed kFastLink{12.5};     // 100 Mbit/s
inline constexpr LinkSpeed kSlowedLink{0.125};  // 1 Mbit/s

}  // namespace lichenlug::lab::control
