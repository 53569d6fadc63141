#include "node/node_settings.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace lichenlug::node {

namespace {

using Json = nlohmann::json;

// Thrown for a key that is missing or has the wrong type; never propagates out of this file.
class SettingsError : public std::runtime_error {
 public:
  SettingsError(std::string key, const std::string& remedy)
      : std::runtime_error(remedy), key_(std::move(key)) {}
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

[[noreturn]] void ThrowSettingsError(const std::string& key, const std::string& remedy) {
  throw SettingsError(key, remedy);
}

std::string RequiredText(const Json& object, const std::string& key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string() || found->get_ref<const std::string&>().empty())
    ThrowSettingsError(key, "give a non-empty string");
  return found->get<std::string>();
}

std::string OptionalText(const Json& object, const std::string& key) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return "";
  if (!found->is_string()) ThrowSettingsError(key, "give a string");
  return found->get<std::string>();
}

double Number(const Json& object, const std::string& key, double default_value) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return default_value;
  if (!found->is_number() || found->get<double>() < 0) ThrowSettingsError(key, "give a number of 0 or more");
  return found->get<double>();
}

Time Milliseconds(const Json& object, const std::string& key, Time default_value) {
  const double fallback = static_cast<double>(default_value) / kMillisecond;
  return static_cast<Time>(Number(object, key, fallback) * kMillisecond);
}

Time Seconds(const Json& object, const std::string& key, Time default_value) {
  const double fallback = static_cast<double>(default_value) / kSecond;
  return static_cast<Time>(Number(object, key, fallback) * kSecond);
}

bool Flag(const Json& object, const std::string& key, bool default_value) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return default_value;
  if (!found->is_boolean()) ThrowSettingsError(key, "give true or false");
  return found->get<bool>();
}

Json Object(const Json& object, const std::string& key) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return Json::object();
  if (!found->is_object()) ThrowSettingsError(key, "give an object");
  return *found;
}

bool ListContains(const Json& object, const std::string& key, const std::string& word) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_array()) return false;
  return std::any_of(found->begin(), found->end(), [&](const Json& item) { return item == word; });
}

std::string IpOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

DeploymentBounds ReadBounds(const Json& table) {
  DeploymentBounds bounds;
  bounds.contact = Milliseconds(table, "contact_ms", bounds.contact);
  bounds.change_receipt = Milliseconds(table, "receipt_ms", bounds.change_receipt);
  bounds.catch_up = Seconds(table, "catch_up_s", bounds.catch_up);
  bounds.drain = Milliseconds(table, "drain_ms", bounds.drain);
  bounds.grace = Seconds(table, "grace_s", bounds.grace);
  bounds.configuration_in_force = Milliseconds(table, "edition_ms", bounds.configuration_in_force);
  bounds.lease = Milliseconds(table, "lease_ms", bounds.lease);
  bounds.retry_ratio = Number(table, "retry_ratio", bounds.retry_ratio);
  bounds.retry_window = Seconds(table, "retry_window_s", bounds.retry_window);
  bounds.retry_slack = Number(table, "retry_slack", bounds.retry_slack);
  bounds.report_window = Seconds(table, "report_window_s", bounds.report_window);
  bounds.usage_late = Seconds(table, "usage_late_s", bounds.usage_late);
  bounds.origin_window = Seconds(table, "origin_window_s", bounds.origin_window);
  bounds.origin_overage = Number(table, "origin_overage", bounds.origin_overage);
  return bounds;
}

std::string InternalPort(const Json& object) {
  const auto ports = object.find("internal_ports");
  if (ports == object.end() || !ports->is_array() || ports->empty() || !ports->front().is_number_integer())
    ThrowSettingsError("internal_ports", "give a list of two port numbers");
  return std::to_string(ports->front().get<int>());
}

void ReadSeeds(const Json& object, const std::string& port, NodeSettings* settings) {
  const auto seeds = object.find("seed_stations");
  if (seeds == object.end() || !seeds->is_array())
    ThrowSettingsError("seed_stations", "give a list of addresses");
  for (const Json& seed : *seeds) {
    if (!seed.is_string())
      ThrowSettingsError("seed_stations", "give addresses as strings of the form IP:PORT");
    settings->seed_addresses.push_back(IpOf(seed.get<std::string>()) + ":" + port);
  }
}

void ReadPlatform(const Json& object, NodeSettings* settings) {
  const Json platform = Object(object, "carrier_api");
  settings->platform_address = OptionalText(platform, "address");
  settings->duty_usage = ListContains(platform, "duties", "usage");
  settings->duty_fleet = ListContains(platform, "duties", "fleet");
}

void ReadAddresses(const Json& object, NodeSettings* settings) {
  const Json addresses = Object(object, "docks");
  settings->front_address = OptionalText(addresses, "front_dock");
  settings->ready_address = OptionalText(addresses, "ready_dock");
  settings->control_address = OptionalText(addresses, "control_dock");
}

// A machine may lack an address, a disk or both; only what its required roles need must be present.
void ReadRoles(const Json& object, NodeSettings* settings) {
  settings->required_roles.clients = ListContains(object, "serves", "front");
  settings->required_roles.control = ListContains(object, "serves", "control");
  if (settings->required_roles.clients && settings->front_address.empty())
    ThrowSettingsError("docks.front_dock", "give IP:PORT for clients, or take \"front\" out of `serves`");
  if (settings->required_roles.control && settings->control_address.empty())
    ThrowSettingsError("docks.control_dock",
                       "give IP:PORT for runners and operators, or take \"control\" out of `serves`");
}

NodeSettings Read(const Json& object) {
  if (!object.is_object()) ThrowSettingsError("the whole file", "give a JSON object");
  NodeSettings settings;
  settings.name = RequiredText(object, "station");
  settings.ip = RequiredText(object, "ip");
  settings.zone = RequiredText(object, "zone");
  settings.region = OptionalText(object, "region");
  ReadAddresses(object, &settings);
  ReadRoles(object, &settings);
  const std::string port = InternalPort(object);
  settings.internal_address = settings.ip + ":" + port;
  ReadSeeds(object, port, &settings);
  settings.first_run = Flag(object, "first_run", false);
  settings.counts_for_quorum = Flag(object, "counts_for_quorum", false);
  settings.store_folder = OptionalText(object, "store_dir");
  settings.tolerated_machines =
      static_cast<int>(Number(Object(object, "tolerated_losses"), "machines", settings.tolerated_machines));
  const Json limits = Object(object, "parcel_limits");
  settings.descriptors = static_cast<int>(Number(limits, "file_handles", settings.descriptors));
  settings.memory_mb = Number(limits, "memory_mb", settings.memory_mb);
  settings.heartbeat_interval = Milliseconds(object, "report_ms", settings.heartbeat_interval);
  settings.retry_budget = ListContains(object, "regulations_in_force", "retry");
  settings.bounds = ReadBounds(Object(object, "timetable"));
  ReadPlatform(object, &settings);
  return settings;
}

}  // namespace

std::string SettingsProblem::Line() const {
  return key.empty() ? place + ": " + remedy : place + ": " + key + ": " + remedy;
}

std::variant<NodeSettings, SettingsProblem> ParseNodeSettings(const std::string& json,
                                                              const std::string& place) {
  try {
    return Read(Json::parse(json));
  } catch (const SettingsError& error) {
    return SettingsProblem{place, error.key(), error.what()};
  } catch (const Json::exception&) {
    return SettingsProblem{place, "", "the file is not JSON; write the complete file again"};
  }
}

std::variant<NodeSettings, SettingsProblem> ReadNodeSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return SettingsProblem{path, "", "the settings file can't be opened; check the path and its permissions"};
  std::stringstream text;
  text << file.rdbuf();
  return ParseNodeSettings(text.str(), path);
}

}  // namespace lichenlug::node
