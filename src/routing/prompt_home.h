// Where a request starts on the ring of runners. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/runner_table.h"

namespace lichenlug::routing {

// The key of a request whose home is found by its model or adapter and by the parts of its prompt that others
// share: all but the last one, which is the request's own or its session's. Requests that share these parts
// meet at one runner, which has read them already; the groups of a busy model spread over all its holders.
std::uint64_t PromptHome(Holding needs, const std::vector<std::string>& prompt_parts);

}  // namespace lichenlug::routing
