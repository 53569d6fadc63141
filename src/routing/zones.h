// Zones as the decision module is told of them: it only has to know which runners are near.
#pragma once

namespace lichenlug::routing {

inline constexpr int kOwnZone = 0, kOtherZones = 1;

}  // namespace lichenlug::routing
