// The body of a usage report to the platform. Its names on the wire stand in usage_codec.cpp alone.
#pragma once

#include <string>

#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

extern const char* const kUsagePath;

// The same tally always gives the same bytes.
std::string WriteUsage(const messages::WindowCount& tally);

}  // namespace lichenlug::duties
