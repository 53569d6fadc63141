// The runners that dispatchers route to, as the control plane gives them to its parts and to the data plane.
#pragma once

#include <memory>
#include <vector>

#include "messages/generated/registry.pb.h"

namespace lichenlug {

// Records are immutable and shared: a list that replaces another one shares those that did not change, so
// that a change of one runner costs no copy of the others.
using SharedRunnerRecord = std::shared_ptr<const messages::RunnerRecord>;
using RunnerList = std::vector<SharedRunnerRecord>;  // ready and draining, by id

}  // namespace lichenlug
