// The roles of one process, derived from the resources of its machine: addresses, a disk, a vote. No
// component depends on the class or the name of a machine.
#pragma once

#include <string>
#include <vector>

#include "node/node_settings.h"

namespace lichenlug::node {

struct NodeRoles {
  bool serves_clients = false;    // has an address for clients
  bool serves_readiness = false;  // has an address for the platform's readiness checks
  bool serves_control = false;    // has an address for runners and the operator
  bool keeps_store = false;       // has a disk: may hold replicas and duties
  bool counts_for_quorum = false;
};

NodeRoles RolesOf(const NodeSettings& settings);

// The roles by name, in a fixed order.
std::vector<std::string> RoleNames(const NodeRoles& roles);

// One line for the log: the roles of the process, and those for which it lacks an address or a disk.
std::string DescribeRoles(const NodeRoles& roles);

}  // namespace lichenlug::node
