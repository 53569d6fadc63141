// Load reports as runners word them, in the decisions' terms.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "decisions/settings.h"
#include "rookgw/brain.h"

namespace lichenlug {

// Unknown and malformed fields are passed over: a report is a hint and fails nothing.
rookgw::LoadReport ParseLoadReport(const nlohmann::json& object, const rookgw::Site& site);

}  // namespace lichenlug
