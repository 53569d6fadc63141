#include "decisions/settings.h"

#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace rookgw {
namespace {

using Json = nlohmann::json;

// A value of the settings: a missing optional one keeps its default, a wrong type is named.
template <typename T>
void Take(const Json& object, const char* key, T* value, const std::string& path = "") {
  auto it = object.find(key);
  if (it == object.end() || it->is_null()) return;
  const bool good = std::is_same_v<T, bool>          ? it->is_boolean()
                    : std::is_same_v<T, std::string> ? it->is_string()
                    : std::is_integral_v<T>          ? it->is_number_integer()
                                                     : it->is_number();
  if (!good) throw SettingsError("settings: " + path + key + ": value of a wrong type");
  *value = it->get<T>();
}

template <typename T>
void Need(const Json& object, const char* key, T* value, const std::string& path = "") {
  if (!object.contains(key)) throw SettingsError("settings: " + path + key + ": missing");
  Take(object, key, value, path);
}

const Json& Part(const Json& object, const char* key, Json::value_t type) {
  static const Json no_object = Json::object(), no_array = Json::array();
  auto it = object.find(key);
  if (it == object.end() || it->is_null()) return type == Json::value_t::object ? no_object : no_array;
  if (it->type() != type) throw SettingsError(std::string("settings: ") + key + ": value of a wrong type");
  return *it;
}

const Json& Object(const Json& object, const char* key) { return Part(object, key, Json::value_t::object); }
const Json& Array(const Json& object, const char* key) { return Part(object, key, Json::value_t::array); }

std::vector<std::string> Names(const Json& object, const char* key,
                               std::unordered_map<std::string, int>* index) {
  std::vector<std::string> names;
  for (const Json& name : Array(object, key)) {
    if (!name.is_string()) throw SettingsError(std::string("settings: ") + key + ": a name must be text");
    index->emplace(name.get<std::string>(), static_cast<int>(names.size()));
    names.push_back(name.get<std::string>());
  }
  return names;
}

template <typename T>
T ItemOr(const Json& array, std::size_t i, T absent, const char* what) {
  if (i >= array.size()) return absent;
  if (!array[i].is_number())
    throw SettingsError(std::string("settings: Specifics.") + what + ": numbers expected");
  return array[i].get<T>();
}

void ParseClasses(const Json& root, Site* site) {
  const Json& specifics = Object(root, "Specifics");
  const Json& kinds = Array(specifics, "ClassKind");
  const Json& priorities = Array(specifics, "ClassPriority");
  const Json& stretches = Array(specifics, "ClassStretch");
  for (const Json& c : Array(root, "RequestClasses")) {
    const std::string path = "RequestClasses[].";
    const std::size_t i = site->settings.classes.size();
    ClassSettings out;
    std::string effect, scope = "all";
    Need(c, "Name", &out.name, path);
    Need(c, "Aim", &out.aim, path);
    Need(c, "Deadline", &out.deadline, path);
    Need(c, "Effect", &effect, path);
    Take(c, "KeyScope", &scope, path);
    Take(c, "LateValue", &out.late_value, path);
    Take(c, "Stream", &out.stream, path);
    Take(c, "Window", &out.window, path);
    Take(c, "Worth", &out.worth, path);
    Take(c, "AimStretch", &out.stretch, path);
    if (effect == "retryable")
      out.effect = Effect::kRepeatable;
    else if (effect == "dedup")
      out.effect = Effect::kKeyed;
    else if (effect == "fragile")
      out.effect = Effect::kUnsafe;
    else
      throw SettingsError("settings: " + path + "Effect: retryable, dedup or fragile expected");
    if (scope == "zone")
      out.scope = KeyScope::kZone;
    else if (scope == "cell")
      out.scope = KeyScope::kCell;
    else if (scope != "all")
      throw SettingsError("settings: " + path + "KeyScope: all, zone or cell expected");
    out.kind = ItemOr(kinds, i, kNone, "ClassKind");
    out.priority = ItemOr(priorities, i, 0, "ClassPriority");
    out.stretch = ItemOr(stretches, i, out.stretch, "ClassStretch");
    site->classes.emplace(out.name, static_cast<int>(i));
    site->settings.classes.push_back(std::move(out));
  }
}

void ParseReport(const Json& root, Site* site) {
  Settings& s = site->settings;
  const Json& report = Object(root, "Report");
  std::string how = "none";
  Take(report, "How", &how, "Report.");
  if (how == "answers")
    s.reports = Settings::Reports::kAnswers;
  else if (how == "probe")
    s.reports = Settings::Reports::kProbe;
  else if (how != "none")
    throw SettingsError("settings: Report.How: answers, probe or none expected");
  std::unordered_map<std::string, int> unused;
  site->report_fields = Names(report, "Fields", &unused);
  std::string x0, x1;
  const Json& specifics = Object(root, "Specifics");
  Take(specifics, "ReportX0", &x0, "Specifics.");
  Take(specifics, "ReportX1", &x1, "Specifics.");
  site->x0_is_slots = x0 == "free slots";
  site->x1_is_memory = x1 == "free memory";
  for (const std::string& field : site->report_fields) {
    s.reports_slots |= field == "x0" && site->x0_is_slots;
    s.reports_memory |= field == "x1" && site->x1_is_memory;
    s.reports_waiting |= field == "waiting";
    s.reports_active |= field == "active";
  }
  Take(specifics, "Progress", &s.progress, "Specifics.");
  Take(specifics, "TellsStart", &s.starts_told, "Specifics.");
}

}  // namespace

Site ParseSettings(std::string_view text) {
  const Json root = Json::parse(text, nullptr, false);
  if (!root.is_object()) throw SettingsError("settings: a JSON object expected");
  Site site;
  Settings& s = site.settings;
  s.zones = Names(root, "Dcs", &site.zones);
  s.kinds = Names(root, "HostTypes", &site.kinds);
  Need(root, "Instances", &s.instances);
  Need(root, "Ordinal", &s.ordinal);
  std::string zone, discovery = "pushed", weights = "none";
  Take(root, "MyZone", &zone);
  if (auto it = site.zones.find(zone); it != site.zones.end()) s.my_zone = it->second;
  Take(root, "Discovery", &discovery);
  if (discovery != "pushed" && discovery != "on_request")
    throw SettingsError("settings: Discovery: pushed or on_request expected");
  s.list_on_request = discovery == "on_request";
  Take(root, "Weights", &weights);
  s.weights_told = weights != "none";
  s.weights_live = weights == "live";
  Take(Object(root, "Callers"), "MarksRetry", &s.repeats_marked, "Callers.");
  Take(root, "OverShareWorth", &s.over_share_worth);
  Take(root, "Tick", &s.tick);
  ParseClasses(root, &site);
  for (const Json& t : Array(root, "Tenants")) {
    TenantSettings out;
    Need(t, "Name", &out.name, "Tenants[].");
    Take(t, "Portion", &out.portion, "Tenants[].");
    Take(t, "QuotaPerS", &out.quota_per_s, "Tenants[].");
    site.tenants.emplace(out.name, static_cast<int>(s.tenants.size()));
    s.tenants.push_back(std::move(out));
  }
  const Json& limits = Object(root, "Limits");
  Need(limits, "MostTries", &s.max_attempts, "Limits.");
  Take(limits, "Probes", &s.probes, "Limits.");
  Take(limits, "Cancelling", &s.cancelling, "Limits.");
  Take(limits, "SecondCopies", &s.second_copies, "Limits.");
  Take(limits, "RetryAfter", &s.retry_after, "Limits.");
  Take(limits, "MaxRetryAfter", &s.max_retry_after, "Limits.");
  Take(limits, "ConnectTimeout", &s.connect_timeout, "Limits.");
  Take(limits, "CpuUsPerS", &s.cpu_us_per_s, "Limits.");
  Take(limits, "CpuUsPerRequest", &s.cpu_us_per_request, "Limits.");
  ParseReport(root, &site);
  const Json& fees = Object(root, "Fees");
  Take(fees, "CrossZone", &s.fee_cross_zone, "Fees.");
  Take(fees, "Origin", &s.fee_fetch, "Fees.");
  Take(fees, "Handshake", &s.fee_handshake, "Fees.");
  Take(fees, "LateFail", &s.fee_late, "Fees.");
  Take(fees, "Probe", &s.fee_probe, "Fees.");
  Take(fees, "Waste", &s.fee_waste, "Fees.");
  const Json& rules = Object(root, "Guarantees");
  Take(rules, "AskEvery", &s.ask_every, "Guarantees.");
  Take(rules, "DrainGrace", &s.drain_grace, "Guarantees.");
  Need(rules, "ColdShare", &s.cold_share, "Guarantees.");
  Need(rules, "OverloadFactor", &s.overload_factor, "Guarantees.");
  Need(rules, "RampTime", &s.ramp_time, "Guarantees.");
  Need(rules, "OverloadFor", &s.overload_for, "Guarantees.");
  return site;
}

}  // namespace rookgw
