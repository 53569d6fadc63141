// Roles follow from a machine's resources: each address and the disk may be missing, unless a role requires
// it.
#include "node/node_roles.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <variant>

namespace lichenlug::node {
namespace {

using Json = nlohmann::json;
using Names = std::vector<std::string>;

Json Machine() {
  return Json::parse(R"({"station": "m-1", "ip": "10.0.0.1", "zone": "a", "internal_ports": [7000, 7010],
    "seed_stations": ["10.0.0.1:83"],
    "docks": {"front_dock": "10.0.0.1:81", "ready_dock": "10.0.0.1:82", "control_dock": "10.0.0.1:83"},
    "store_dir": "/data/x", "counts_for_quorum": true})");
}

std::variant<NodeSettings, SettingsProblem> Parse(const Json& json) {
  return ParseNodeSettings(json.dump(), "node.json");
}

Names RolesFor(const Json& json) { return RoleNames(RolesOf(std::get<NodeSettings>(Parse(json)))); }

TEST_CASE("a machine with everything has every role") {
  CHECK(RolesFor(Machine()) == Names{"clients", "readiness", "control", "store", "quorum"});
}

TEST_CASE("a machine without an address for clients, or without a disk, is valid") {
  Json core = Machine();
  core["serves"] = {"control"};
  core["docks"] = {{"control_dock", "10.0.0.1:83"}};
  CHECK(RolesFor(core) == Names{"control", "store", "quorum"});

  Json front = Machine();
  front["serves"] = {"front"};
  front["docks"].erase("control_dock");
  front.erase("store_dir");
  front["counts_for_quorum"] = false;
  CHECK(RolesFor(front) == Names{"clients", "readiness"});

  Json bare = Machine();
  bare["docks"] = nullptr;
  bare["store_dir"] = "";
  bare["counts_for_quorum"] = false;
  CHECK(RolesFor(bare).empty());
}

TEST_CASE("a missing address of a required role is reported with its key and remedy") {
  const std::vector<std::pair<std::string, std::string>> cases = {{"front", "front_dock"},
                                                                  {"control", "control_dock"}};
  for (const auto& [role, address] : cases) {
    Json json = Machine();
    json["serves"] = {role};
    json["docks"].erase(address);
    const auto result = Parse(json);
    const auto* problem = std::get_if<SettingsProblem>(&result);
    REQUIRE(problem != nullptr);
    CHECK(problem->key == "docks." + address);
    CHECK(problem->Line().find("node.json: docks." + address + ": give IP:PORT") == 0);
    CHECK(problem->Line().find('\n') == std::string::npos);
  }
}

TEST_CASE("the log line lists the present and the absent roles") {
  Json core = Machine();
  core["docks"] = {{"control_dock", "10.0.0.1:83"}};
  const NodeRoles roles = RolesOf(std::get<NodeSettings>(Parse(core)));
  CHECK(DescribeRoles(roles) == "roles: control, store, quorum; not on this machine: clients, readiness");
  CHECK(DescribeRoles({}) ==
        "roles: nothing; not on this machine: clients, readiness, control, store, quorum");
}

}  // namespace
}  // namespace lichenlug::node
