// The position on the ring of runners where the search for a request's runner begins. Pure function.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/runner_table.h"

namespace lichenlug::routing {

// Returns the ring key of a request, derived from its model or adapter and from the parts of its prompt that
// other requests share: all but the last one, which belongs to the request or its session alone. Requests
// that share these parts are sent to the same runner, which has already processed them, while the groups of
// a busy model are spread over all of its holders.
std::uint64_t PromptHome(Holding needs, const std::vector<std::string>& prompt_parts);

}  // namespace lichenlug::routing
