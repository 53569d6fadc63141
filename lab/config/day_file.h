// Reads a day file (TOML), with the site file that it names, whole or not at all.
#pragma once

#include <toml++/toml.h>

#include <string>

#include "lab/model/site.h"

namespace lichenlug::lab {

// Throws ConfigError with one line for each thing that is wrong. What `changes` holds is read in place of
// what the file says, table by table.
Day ReadDay(const std::string& path, const toml::table& changes = {});

}  // namespace lichenlug::lab
