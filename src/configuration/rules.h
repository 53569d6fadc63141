// Validation rules for a configuration, beyond the types of its values. Rejects only what the operator's
// interface defines as invalid, or what can't possibly be served; everything else is left to the modules that
// use it.
#pragma once

#include <optional>

#include "configuration/configuration.h"

namespace lichenlug::configuration {

// The first violation found, if any. Takes time linear in the size of the configuration.
std::optional<Problem> CheckRules(const messages::Configuration& configuration);

}  // namespace lichenlug::configuration
