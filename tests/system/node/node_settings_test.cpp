// Parsing of the settings file of a process, and the error lines for invalid files.
#include "node/node_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using lichenlug::node::NodeSettings;
using lichenlug::node::ParseNodeSettings;
using lichenlug::node::SettingsProblem;
using Json = nlohmann::json;

namespace {

Json Valid() {
  return Json::parse(R"({"station": "front-1", "ip": "10.0.0.1", "zone": "a", "region": "r",
    "docks": {"front_dock": "10.0.0.1:81", "ready_dock": "10.0.0.1:82", "control_dock": "10.0.0.1:83"},
    "internal_ports": [7000, 7010], "seed_stations": ["10.0.0.1:83", "10.0.0.2:83"], "first_run": true,
    "counts_for_quorum": true, "store_dir": "/data/x", "tolerated_losses": {"machines": 2},
    "parcel_limits": {"file_handles": 4100, "memory_mb": 260}, "report_ms": 1200,
    "regulations_in_force": ["base", "retry"],
    "timetable": {"lease_ms": 3500, "grace_s": 8, "retry_ratio": 0.2, "revocation_closed": false},
    "carrier_api": {"address": "10.9.0.1:84", "duties": ["usage", "fleet"]}})");
}

std::string ProblemOf(const Json& json) {
  const auto result = ParseNodeSettings(json.dump(), "node.json");
  const auto* problem = std::get_if<SettingsProblem>(&result);
  return problem != nullptr ? problem->Line() : "";
}

}  // namespace

TEST_CASE("A complete file is read") {
  const auto result = ParseNodeSettings(Valid().dump(), "node.json");
  REQUIRE(std::holds_alternative<NodeSettings>(result));
  const auto& settings = std::get<NodeSettings>(result);
  CHECK(settings.internal_address == "10.0.0.1:7000");
  CHECK(settings.seed_addresses == std::vector<std::string>{"10.0.0.1:7000", "10.0.0.2:7000"});
  CHECK(settings.first_run);
  CHECK(settings.counts_for_quorum);
  CHECK(settings.tolerated_machines == 2);
  CHECK(settings.bounds.lease == 3500 * lichenlug::kMillisecond);
  CHECK(settings.duty_usage);
  CHECK(settings.retry_budget);
}

TEST_CASE("Unknown keys, null values and a missing disk are accepted") {
  Json json = Valid();
  json["novel"] = {{"a", 1}};
  json["store_dir"] = nullptr;
  json.erase("carrier_api");
  json.erase("timetable");
  CHECK(ProblemOf(json).empty());
}

TEST_CASE("Each invalid value is reported with file, key and remedy") {
  const std::vector<std::pair<std::string, Json>> faults = {{"station", ""},
                                                            {"station", 3},
                                                            {"ip", nullptr},
                                                            {"zone", Json::array()},
                                                            {"docks", 1},
                                                            {"internal_ports", "x"},
                                                            {"seed_stations", "x"},
                                                            {"seed_stations", {1}},
                                                            {"first_run", "yes"},
                                                            {"store_dir", 1},
                                                            {"report_ms", -1},
                                                            {"tolerated_losses", 5},
                                                            {"parcel_limits", "big"},
                                                            {"timetable", {{"lease_ms", "x"}}}};
  for (const auto& [key, value] : faults) {
    Json json = Valid();
    json[key] = value;
    const std::string problem = ProblemOf(json);
    CAPTURE(key, value.dump(), problem);
    CHECK(problem.rfind("node.json: ", 0) == 0);
    CHECK(problem.find("give ") != std::string::npos);
    CHECK(problem.find('\n') == std::string::npos);
  }
}

TEST_CASE("A truncated file is rejected") {
  const std::string text = Valid().dump();
  for (std::size_t length = 0; length < text.size(); ++length)
    CHECK(std::holds_alternative<SettingsProblem>(ParseNodeSettings(text.substr(0, length), "node.json")));
}
