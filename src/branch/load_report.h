// Load reports as runners word them, in the decisions' terms.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "rookgw/brain.h"
#include "wire.h"

namespace lichenlug {

// Unknown and malformed fields are passed over: a report is a hint and fails nothing.
rookgw::LoadReport ParseLoadReport(const nlohmann::json& object, const rookgw::wire::Site& site);

}  // namespace lichenlug
