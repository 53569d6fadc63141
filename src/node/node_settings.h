// The settings of one process, from a JSON file whose path the platform provides. Unknown keys are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/mechanisms.h"

namespace lichenlug::node {

// Time limits and other bounds of the deployment.
struct DeploymentBounds {
  Time contact = 3 * kSecond;         // a machine counts as connected after this long without faults
  Time change_receipt = 4 * kSecond;  // an operator's change must be acknowledged within this time
  Time catch_up = 4 * kSecond;        // a machine that returns still counts as lost for this long
  Time drain = 2 * kSecond;           // an acknowledged drain is in effect everywhere after this time
  Time grace = 8 * kSecond;           // from SIGTERM to SIGKILL
  Time configuration_in_force = 2 * kSecond;
  Time lease = 3 * kSecond;
  double retry_ratio = 0.2;
  Time retry_window = 10 * kSecond;
  double retry_slack = 60;
  Time report_window = 5 * kSecond;  // for usage reports
  Time usage_late = 10 * kSecond;
  Time origin_window = 5 * kSecond;  // for loads from the weight store
  double origin_overage = 1.1;
};

// The roles that the deployment requires of a process.
struct RequiredRoles {
  bool clients = false;  // `serves` lists "front"
  bool control = false;  // `serves` lists "control"
};

struct NodeSettings {
  std::string name;  // machine name
  std::string ip;
  std::string zone;
  std::string region;
  RequiredRoles required_roles;
  std::string front_address;                // "ip:port" of the client listener; empty: clients are not served
  std::string ready_address;                // empty: readiness checks are not served
  std::string control_address;              // empty: runners and the operator are not served
  std::string internal_address;             // "ip:port" of the internal transport
  std::vector<std::string> seed_addresses;  // of the internal transport
  bool first_run = false;
  bool counts_for_quorum = false;
  std::string store_folder;  // empty: no disk
  int tolerated_machines = 1;
  int descriptors = 1024;
  double memory_mb = 256;
  Time heartbeat_interval = 1200 * kMillisecond;  // for runners
  std::string platform_address;                   // "ip:port"; empty: none
  bool duty_usage = false;
  bool duty_fleet = false;
  bool retry_budget = true;
  DeploymentBounds bounds;
  Mechanisms mechanisms;  // set by experiments; not in the file
};

// The reason why a settings file is rejected.
struct SettingsProblem {
  std::string place;   // path of the file
  std::string key;     // empty: the problem concerns the whole file
  std::string remedy;  // for example "give a non-empty string"
  std::string Line() const;
};

std::variant<NodeSettings, SettingsProblem> ReadNodeSettings(const std::string& path);
std::variant<NodeSettings, SettingsProblem> ParseNodeSettings(const std::string& json,
                                                              const std::string& place);

}  // namespace lichenlug::node
