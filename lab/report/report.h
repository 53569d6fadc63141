// Makes one HTML page of an experiment's folder: tables and pictures, nothing to load from elsewhere.
#pragma once

#include <string>

namespace lichenlug::lab {

// Writes `dir`/report.html and gives its path. Throws std::runtime_error when the folder holds no results.
std::string WriteReport(const std::string& dir);

}  // namespace lichenlug::lab
