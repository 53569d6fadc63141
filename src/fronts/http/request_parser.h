// Parses a client's HTTP request into the core's types.
#pragma once

#include <string>

#include "core/ports.h"
#include "decisions/settings.h"
#include "net/http_connection.h"

namespace lichenlug {

std::string_view PathOf(std::string_view target);  // without the query
std::string_view FirstSegment(
    std::string_view target);  // the first segment of the path, which names the class

// Parses a request that arrived at `now`. Returns null, or a one-line description of the error. Every header
// except X-Call-Id is optional.
const char* ParseJobRequest(const HttpMessage& message, const rookgw::Site& site, int cls, Time now,
                            rookgw::RequestArrived* arrived, Job* job);

}  // namespace lichenlug
