#include "decisions/check.h"

#include <cmath>
#include <stdexcept>
#include <utility>

namespace rookgw::internal {

Settings Checked(Settings s) {
  auto need = [](bool good, const char* what) {
    if (!good) throw std::invalid_argument(what);
  };
  need(!s.classes.empty(), "classes: at least one is needed");
  need(s.instances >= 1, "instances: must be 1 or more");
  need(s.ordinal >= 0, "ordinal: must not be negative");
  need(s.max_attempts >= 1, "max_attempts: must be 1 or more");
  need(s.tick > 0, "tick: must be above 0");
  need(s.ramp_time >= 0 && s.overload_for >= 0, "ramp_time, overload_for: must not be negative");
  need(s.cold_share >= 0 && s.cold_share <= 1, "cold_share: must be from 0 to 1");
  need(s.overload_factor >= 0, "overload_factor: must not be negative");
  for (const ClassSettings& c : s.classes) {
    need(c.aim >= 0, "classes.aim: must not be negative");
    need(c.stretch >= 0 && std::isfinite(c.stretch), "classes.stretch: must not be negative");
    need(c.worth >= 0 && std::isfinite(c.worth), "classes.worth: must not be negative");
    need(c.window >= 0, "classes.window: must not be negative");
    need(c.kind < static_cast<int>(s.kinds.size()), "classes.kind: no such kind");
  }
  for (const TenantSettings& t : s.tenants)
    need(t.quota_per_s >= 0 && std::isfinite(t.quota_per_s), "tenants.quota_per_s: must not be negative");
  return s;
}

}  // namespace rookgw::internal
