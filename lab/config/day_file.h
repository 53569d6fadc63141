// Reads a day file (TOML), with the site file that it names, whole or not at all.
#pragma once

#include <string>

#include "lab/model/site.h"

namespace lichenlug::lab {

// Throws ConfigError with one line for each thing that is wrong.
Day ReadDay(const std::string& path);

// The name that a fault has in day files.
const char* FaultName(FaultKind kind);

}  // namespace lichenlug::lab
