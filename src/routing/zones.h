// Zone numbers passed to the decision module, which only needs to know which runners are near.
#pragma once

namespace lichenlug::routing {

inline constexpr int kOwnZone = 0, kOtherZones = 1;

}  // namespace lichenlug::routing
