// The days that failure detectors are played on, each with one kind of fault, and one with all.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/membership/net.h"

namespace lichenlug::lab {

std::vector<std::string> FaultDayNames();

// What happens to whom and when is drawn from the seed, not from the detector. Throws std::invalid_argument
// that lists the names.
Day FaultDay(const std::string& name, int size, std::uint64_t seed);

}  // namespace lichenlug::lab
