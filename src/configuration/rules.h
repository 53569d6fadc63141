// The rules that a configuration must keep, beyond the types of its values. Only what the operator's
// interface calls invalid, or what plainly can't be served, is refused: all else is left to the parts that
// use it.
#pragma once

#include <optional>

#include "configuration/configuration.h"

namespace lichenlug::configuration {

// The first rule that is broken, in the order of the text. Linear in the size of the configuration.
std::optional<Problem> CheckRules(const messages::Configuration& configuration);

}  // namespace lichenlug::configuration
