// The settings of one process: a JSON file whose path the platform gives. Unknown keys are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/mechanisms.h"

namespace lichenlug::node {

// Bounds and periods of the deployment.
struct DeploymentBounds {
  Time contact = 3 * kSecond;         // calm for this long: a machine is in touch
  Time change_receipt = 4 * kSecond;  // a change of the operator wants its acknowledgement by then
  Time catch_up = 4 * kSecond;        // after its return a machine still counts as lost for this long
  Time drain = 2 * kSecond;           // an acknowledged drain holds everywhere after it
  Time grace = 8 * kSecond;           // from SIGTERM to SIGKILL
  Time configuration_in_force = 2 * kSecond;
  Time lease = 3 * kSecond;
  double retry_ratio = 0.2;
  Time retry_window = 10 * kSecond;
  double retry_slack = 60;
  Time report_window = 5 * kSecond;  // of usage
  Time usage_late = 10 * kSecond;
  Time origin_window = 5 * kSecond;  // of loads from the weight store
  double origin_overage = 1.1;
};

// What the deployment asks of a process: whom it serves.
struct AskedRoles {
  bool clients = false;  // `serves` names "front"
  bool control = false;  // `serves` names "control"
};

struct NodeSettings {
  std::string name;  // of the machine
  std::string ip;
  std::string zone;
  std::string region;
  AskedRoles asked;
  std::string front_address;     // "ip:port" of the clients' listener; empty: clients are not served
  std::string ready_address;     // empty: readiness is not told
  std::string control_address;   // empty: runners and the operator are not served
  std::string internal_address;  // "ip:port" of the internal transport
  std::vector<std::string> seed_addresses;  // of the internal transport
  bool first_run = false;
  bool counts_for_quorum = false;
  std::string store_folder;  // empty: no disk
  int tolerated_machines = 1;
  int descriptors = 1024;
  double memory_mb = 256;
  Time heartbeat_interval = 1200 * kMillisecond;  // of runners
  std::string platform_address;                   // "ip:port"; empty: none
  bool duty_usage = false;
  bool duty_fleet = false;
  bool retry_budget = true;
  DeploymentBounds bounds;
  Mechanisms mechanisms;  // of experiments; not in the file
};

// Why a settings file is refused.
struct SettingsProblem {
  std::string place;   // the file
  std::string key;     // empty: the file as a whole
  std::string remedy;  // "give a text that is not empty"
  std::string Line() const;
};

std::variant<NodeSettings, SettingsProblem> ReadNodeSettings(const std::string& path);
std::variant<NodeSettings, SettingsProblem> ParseNodeSettings(const std::string& json,
                                                              const std::string& place);

}  // namespace lichenlug::node
