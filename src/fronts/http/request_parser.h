// A client's request in the core's terms.
#pragma once

#include <string>

#include "core/ports.h"
#include "decisions/settings.h"
#include "net/http_connection.h"

namespace lichenlug {

std::string_view PathOf(std::string_view target);     // without the query
std::string_view FirstPart(std::string_view target);  // of the path; gives the class

// Fills in the request that came at `now`. Returns null, or what is wrong with it in one line. Every header
// but the id may be absent.
const char* ParseJobRequest(const HttpMessage& message, const rookgw::Site& site, int cls, Time now,
                            rookgw::RequestArrived* arrived, Job* job);

}  // namespace lichenlug
