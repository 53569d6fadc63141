// Reads the settings of a deployment from the platform's JSON (the "settings" of a dispatcher's
// configuration, which is also the object that the simulator attaches an instance with) into the terms of the
// decisions.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookgw/brain.h"

namespace rookgw {

// What is wrong with the settings, in one line that names the key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The settings with the name tables that requests, lists and reports are read by.
struct Site {
  Settings settings;
  std::unordered_map<std::string, int> zones, kinds, classes, tenants;
  std::vector<std::string> report_fields;
  bool x0_is_slots = false, x1_is_memory = false;
  // For the host of the decisions.
  std::size_t max_open = 20000;  // requests
  Time idle_close = 5'000'000;   // connections are closed that have stood idle for so long
  bool may_tell = false;         // nodes may send one another messages
};

// Throws SettingsError where a Scheduler could not be built on the settings or one contradicts another. Keys
// that are not known are passed over, missing optional ones keep their defaults.
Site ReadSettings(const nlohmann::json& object);
Site ParseSettings(std::string_view json);

}  // namespace rookgw
