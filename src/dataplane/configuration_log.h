// Tells in the log what a configuration that comes into force changes for requests.
#pragma once

#include "messages/generated/configuration.pb.h"

namespace lichenlug::dataplane {

// `before` is null for the first one. Routes that get another deadline are named, up to a bound.
void LogInForce(const messages::Configuration* before, const messages::Configuration& now);

}  // namespace lichenlug::dataplane
