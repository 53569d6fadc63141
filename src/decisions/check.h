// Validates settings before a Scheduler is built from them, so that the decisions can rely on them.
#pragma once

#include "rookgw/brain.h"

namespace rookgw::internal {

// Returns `settings` unchanged. Throws std::invalid_argument, naming the field, if they are invalid.
Settings Validated(Settings settings);

}  // namespace rookgw::internal
