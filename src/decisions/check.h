// Checks settings before a Scheduler is built on them, so that no decision needs to ask whether they make
// sense.
#pragma once

#include "rookgw/brain.h"

namespace rookgw::internal {

// The settings as they were given; throws std::invalid_argument, naming the field, when they make no sense.
Settings Checked(Settings settings);

}  // namespace rookgw::internal
