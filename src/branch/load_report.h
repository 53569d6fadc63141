// Converts runners' load reports to the form that the decisions use.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "decisions/settings.h"
#include "rookgw/brain.h"

namespace lichenlug {

// Ignores unknown and malformed fields: a report is only a hint, so a malformed one fails nothing.
rookgw::LoadReport ParseLoadReport(const nlohmann::json& object, const rookgw::Site& site);

}  // namespace lichenlug
