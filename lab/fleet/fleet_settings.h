// The settings of a dispatcher's configuration, as the fleet file and its day have them.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "lab/fleet/fleet_file.h"

namespace lichenlug::lab {

// `job_rate`: jobs a second that fill the site; quotas are parts of it.
nlohmann::json SettingsOf(const FleetFile& fleet, int ordinal, double job_rate);

}  // namespace lichenlug::lab
