// The body of a usage report to the platform. The wire names are defined only in usage_codec.cpp.
#pragma once

#include <string>

#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

extern const char* const kUsagePath;

// Deterministic: equal tallies give equal bytes.
std::string WriteUsage(const messages::WindowCount& tally);

}  // namespace lichenlug::duties
