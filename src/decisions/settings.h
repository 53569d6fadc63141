// Reads the settings of a deployment from JSON (the "settings" object of a dispatcher's configuration, which
// the simulator also passes when it attaches an instance) into the types of rookgw/brain.h.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rookgw/brain.h"

namespace rookgw {

// Invalid settings; the message is one line that names the key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The settings, with the tables that map names in requests, lists and reports to indices.
struct Site {
  Settings settings;
  std::unordered_map<std::string, int> zones, kinds, classes, tenants;
  std::vector<std::string> report_fields;
  bool x0_is_slots = false, x1_is_memory = false;
  // Used by the process that hosts the Scheduler.
  std::size_t max_open = 20000;      // maximum concurrent requests
  Time idle_close = 5'000'000;       // idle connections are closed after this time
  bool allow_peer_messages = false;  // nodes may exchange messages
};

// Throws SettingsError if a Scheduler can't be built from the settings or if they contradict each other.
// Ignores unknown keys; missing optional keys keep their defaults.
Site ReadSettings(const nlohmann::json& object);
Site ParseSettings(std::string_view json);

}  // namespace rookgw
