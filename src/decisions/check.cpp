#include "decisions/check.h"

#include <cmath>
#include <stdexcept>
#include <utility>

namespace rookgw::internal {

Settings Validated(Settings s) {
  auto require = [](bool good, const char* what) {
    if (!good) throw std::invalid_argument(what);
  };
  require(!s.classes.empty(), "classes: at least one is needed");
  require(s.instances >= 1, "instances: must be 1 or more");
  require(s.ordinal >= 0, "ordinal: must not be negative");
  require(s.max_attempts >= 1, "max_attempts: must be 1 or more");
  require(s.tick > 0, "tick: must be above 0");
  require(s.ramp_time >= 0 && s.overload_for >= 0, "ramp_time, overload_for: must not be negative");
  require(s.cold_share >= 0 && s.cold_share <= 1, "cold_share: must be from 0 to 1");
  require(s.overload_factor >= 0, "overload_factor: must not be negative");
  for (const ClassSettings& c : s.classes) {
    require(c.aim >= 0, "classes.aim: must not be negative");
    require(c.stretch >= 0 && std::isfinite(c.stretch), "classes.stretch: must not be negative");
    require(c.worth >= 0 && std::isfinite(c.worth), "classes.worth: must not be negative");
    require(c.window >= 0, "classes.window: must not be negative");
    require(c.kind < static_cast<int>(s.kinds.size()), "classes.kind: no such kind");
  }
  for (const TenantSettings& t : s.tenants)
    require(t.quota_per_s >= 0 && std::isfinite(t.quota_per_s), "tenants.quota_per_s: must not be negative");
  return s;
}

}  // namespace rookgw::internal
