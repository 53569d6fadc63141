#include "node/node_roles.h"

#include <string_view>

namespace lichenlug::node {

namespace {

constexpr std::string_view kClients = "clients";
constexpr std::string_view kReadiness = "readiness";
constexpr std::string_view kControl = "control";
constexpr std::string_view kStore = "store";
constexpr std::string_view kQuorum = "quorum";

struct NamedRole {
  std::string_view name;
  bool held = false;
};

std::vector<NamedRole> AllRoles(const NodeRoles& roles) {
  return {{kClients, roles.serves_clients},
          {kReadiness, roles.serves_readiness},
          {kControl, roles.serves_control},
          {kStore, roles.keeps_store},
          {kQuorum, roles.counts_for_quorum}};
}

std::string Join(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) joined += (joined.empty() ? "" : ", ") + name;
  return joined.empty() ? "nothing" : joined;
}

}  // namespace

NodeRoles RolesOf(const NodeSettings& settings) {
  return {.serves_clients = !settings.front_address.empty(),
          .serves_readiness = !settings.ready_address.empty(),
          .serves_control = !settings.control_address.empty(),
          .keeps_store = !settings.store_folder.empty(),
          .counts_for_quorum = settings.counts_for_quorum};
}

std::vector<std::string> RoleNames(const NodeRoles& roles) {
  std::vector<std::string> names;
  for (const NamedRole& role : AllRoles(roles))
    if (role.held) names.emplace_back(role.name);
  return names;
}

std::string DescribeRoles(const NodeRoles& roles) {
  std::vector<std::string> absent;
  for (const NamedRole& role : AllRoles(roles))
    if (!role.held) absent.emplace_back(role.name);
  return "roles: " + Join(RoleNames(roles)) + "; not on this machine: " + Join(absent);
}

}  // namespace lichenlug::node
