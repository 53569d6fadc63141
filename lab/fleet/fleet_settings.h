// The settings of a dispatcher's configuration, as the site's day file has them.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "lab/model/site.h"

namespace lichenlug::lab {

// `job_rate`: jobs a second that fill the site; quotas are parts of it.
nlohmann::json SettingsOf(const Site& site, int ordinal, double job_rate, bool peers);

}  // namespace lichenlug::lab
