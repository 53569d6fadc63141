// Logs what changes for requests when a configuration takes effect.
#pragma once

#include "messages/generated/configuration.pb.h"

namespace lichenlug::dataplane {

// `before` is null for the first configuration. Lists routes whose deadline changed, up to a limit.
void LogConfigurationChange(const messages::Configuration* before, const messages::Configuration& now);

}  // namespace lichenlug::dataplane
