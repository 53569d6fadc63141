// What the connections of a crowd send over HTTP: one request each, of which some bytes may be missing.
#pragma once

#include <cstddef>
#include <string>

#include "lab/fleet/crowd.h"

namespace lichenlug::lab {

// A request line and headers without the empty line at the end.
using RequestStart = std::string;

// Whether a crowd sends its requests to the end.
enum class Ending { kComplete, kStopsShort };

// A body of `size` bytes that is announced.
CrowdPlan AnnouncedBodies(int connections, const RequestStart& start, std::size_t size, Ending ending);
// A chunked body of `chunks` chunks of `chunk_size` bytes.
CrowdPlan ChunkedBodies(int connections, const RequestStart& start, std::size_t chunk_size,
                        std::size_t chunks, Ending ending);
// Heads of thousands of short headers that do not end.
CrowdPlan EndlessHeads(int connections, const RequestStart& start, std::size_t bytes);

}  // namespace lichenlug::lab
