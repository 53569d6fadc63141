#include "decisions/settings.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace rookgw {
namespace {

using Json = nlohmann::json;

// Limit of any number: a duration of 30 years in microseconds, so that a sum of several still fits a Time.
constexpr double kMax = 1e15;

struct Range {
  double least = 0, most = kMax;
};

[[noreturn]] void Bad(const std::string& path, const std::string& expected) {
  throw SettingsError("settings: " + path + ": " + expected + " expected");
}

std::string Text(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%.15g", number);
  return text;
}

template <typename T>
T Value(const Json& value, const std::string& path, Range range = {}) {
  if constexpr (std::is_same_v<T, bool>) {
    if (!value.is_boolean()) Bad(path, "true or false");
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!value.is_string()) Bad(path, "text");
  } else {  // checked as a double: a conversion to T would truncate values that do not fit
    constexpr bool kWhole = std::is_integral_v<T>;
    if constexpr (kWhole) range.most = std::min(range.most, 1.0 * std::numeric_limits<T>::max());
    const double number = value.is_number() ? value.get<double>() : std::nan("");
    if (!(number >= range.least && number <= range.most) || (kWhole && number != std::floor(number)))
      Bad(path, (kWhole ? "a whole number from " : "a number from ") + Text(range.least) + " to " +
                    Text(range.most));
  }
  return value.get<T>();
}

// Returns false and keeps the default if the key is absent.
template <typename T>
bool Take(const Json& object, const char* key, T* value, const std::string& path = "", Range range = {}) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return false;
  *value = Value<T>(*it, path + key, range);
  return true;
}

template <typename T>
void Need(const Json& object, const char* key, T* value, const std::string& path = "", Range range = {}) {
  if (!Take(object, key, value, path, range)) throw SettingsError("settings: " + path + key + ": missing");
}

const Json& Part(const Json& object, const char* key, Json::value_t type) {
  static const Json no_object = Json::object(), no_array = Json::array();
  auto it = object.find(key);
  if (it == object.end() || it->is_null()) return type == Json::value_t::object ? no_object : no_array;
  if (it->type() != type) Bad(key, type == Json::value_t::object ? "an object" : "a list");
  return *it;
}

const Json& Object(const Json& object, const char* key) { return Part(object, key, Json::value_t::object); }
const Json& Array(const Json& object, const char* key) { return Part(object, key, Json::value_t::array); }

std::string Item(const char* list, std::size_t i) {
  return std::string(list) + "[" + std::to_string(i) + "]";
}

std::vector<std::string> Names(const Json& object, const char* key,
                               std::unordered_map<std::string, int>* index) {
  std::vector<std::string> names;
  for (const Json& name : Array(object, key)) {
    names.push_back(Value<std::string>(name, Item(key, names.size())));
    index->emplace(names.back(), static_cast<int>(names.size()) - 1);
  }
  return names;
}

// Reads the required, unique name of a class or tenant; `path` names the entry in errors.
void NeedName(const Json& object, std::string* name, const std::string& path,
              std::unordered_map<std::string, int>* index) {
  Need(object, "Name", name, path);
  const bool fresh = index->emplace(*name, static_cast<int>(index->size())).second;
  if (name->empty() || !fresh) Bad(path + "Name", "a name that no other has");
}

template <typename T>
void TakeItem(const Json& specifics, const char* key, std::size_t i, T* value, Range range) {
  const Json& list = Array(specifics, key);
  if (i < list.size() && !list[i].is_null()) *value = Value<T>(list[i], "Specifics." + Item(key, i), range);
}

ClassSettings ParseClass(const Json& c, std::size_t i, const Json& specifics, Site* site) {
  const std::string path = Item("RequestClasses", i) + ".";
  ClassSettings out;
  std::string effect, scope = "all";
  NeedName(c, &out.name, path, &site->classes);
  Need(c, "Aim", &out.aim, path);
  Need(c, "Deadline", &out.deadline, path);
  Need(c, "Effect", &effect, path);
  Take(c, "KeyScope", &scope, path);
  Take(c, "LateValue", &out.late_value, path);
  Take(c, "Stream", &out.stream, path);
  const bool has_window = Take(c, "Window", &out.window, path);
  Take(c, "Worth", &out.worth, path);
  Take(c, "AimStretch", &out.stretch, path);
  // A request is ended two ticks before its deadline, so with a shorter one none could ever be dispatched.
  const Time margin = 2 * site->settings.tick;
  if (out.deadline <= margin) Bad(path + "Deadline", "more than two ticks (" + std::to_string(margin) + ")");
  if (effect == "retryable")
    out.effect = Effect::kRepeatable;
  else if (effect == "dedup")
    out.effect = Effect::kKeyed;
  else if (effect == "fragile")
    out.effect = Effect::kUnsafe;
  else
    Bad(path + "Effect", "retryable, dedup or fragile");
  if (scope == "zone")
    out.scope = KeyScope::kZone;
  else if (scope == "cell")
    out.scope = KeyScope::kCell;
  else if (scope != "all")
    Bad(path + "KeyScope", "all, zone or cell");
  // Without a window, none of its jobs is sent a second time.
  if (out.effect == Effect::kKeyed && has_window && out.window == 0)
    throw SettingsError("settings: " + path + "Window: above 0 expected for dedup");
  const double kinds = static_cast<double>(site->settings.kinds.size());
  TakeItem(specifics, "ClassKind", i, &out.kind, {kNone, kinds - 1});
  TakeItem(specifics, "ClassPriority", i, &out.priority, {-1e9, 1e9});
  TakeItem(specifics, "ClassStretch", i, &out.stretch, {});
  return out;
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
    Bad("Report.How", "answers, probe or none");
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
  Take(specifics, "TellsStart", &s.reports_starts, "Specifics.");
}

}  // namespace

Site ReadSettings(const Json& root) {
  if (!root.is_object()) throw SettingsError("settings: a JSON object expected");
  Site site;
  Settings& s = site.settings;
  s.zones = Names(root, "Dcs", &site.zones);
  s.kinds = Names(root, "HostTypes", &site.kinds);
  Need(root, "Instances", &s.instances, "", {1});
  Need(root, "Ordinal", &s.ordinal, "", {0, s.instances - 1.0});
  std::string zone, discovery = "pushed", weights = "none";
  Take(root, "MyZone", &zone);
  if (auto it = site.zones.find(zone); it != site.zones.end()) s.my_zone = it->second;
  Take(root, "Discovery", &discovery);
  if (discovery != "pushed" && discovery != "on_request") Bad("Discovery", "pushed or on_request");
  s.list_on_request = discovery == "on_request";
  Take(root, "Weights", &weights);
  s.reports_weights = weights != "none";
  s.weights_live = weights == "live";
  Take(Object(root, "Callers"), "MarksRetry", &s.repeats_marked, "Callers.");
  Take(root, "OverShareWorth", &s.over_share_worth);
  Take(root, "Tick", &s.tick, "", {1});
  const Json& specifics = Object(root, "Specifics");
  for (const Json& c : Array(root, "RequestClasses"))
    s.classes.push_back(ParseClass(c, s.classes.size(), specifics, &site));
  if (s.classes.empty()) Bad("RequestClasses", "at least one class");
  for (const Json& t : Array(root, "Tenants")) {
    const std::string path = Item("Tenants", s.tenants.size()) + ".";
    TenantSettings out;
    NeedName(t, &out.name, path, &site.tenants);
    Take(t, "Portion", &out.portion, path, {0, 1});
    Take(t, "QuotaPerS", &out.quota_per_s, path);
    s.tenants.push_back(std::move(out));
  }
  const Json& limits = Object(root, "Limits");
  Need(limits, "MostTries", &s.max_attempts, "Limits.", {1});
  Take(limits, "Probes", &s.probes, "Limits.");
  Take(limits, "Cancelling", &s.cancelling, "Limits.");
  Take(limits, "SecondCopies", &s.second_copies, "Limits.");
  Take(limits, "RetryAfter", &s.retry_after, "Limits.");
  Take(limits, "MaxRetryAfter", &s.max_retry_after, "Limits.");
  s.connect_timeout = 200'000;
  Take(limits, "ConnectTimeout", &s.connect_timeout, "Limits.");
  Take(limits, "CpuUsPerS", &s.cpu_us_per_s, "Limits.");
  Take(limits, "CpuUsPerRequest", &s.cpu_us_per_request, "Limits.");
  Take(limits, "MaxOpen", &site.max_open, "Limits.");
  Take(limits, "IdleClose", &site.idle_close, "Limits.");
  Take(limits, "MayTell", &site.allow_peer_messages, "Limits.");
  ParseReport(root, &site);
  const Json& fees = Object(root, "Fees");
  const Range any{-kMax, kMax};
  Take(fees, "CrossZone", &s.fee_cross_zone, "Fees.", any);
  Take(fees, "Origin", &s.fee_fetch, "Fees.", any);
  Take(fees, "Handshake", &s.fee_handshake, "Fees.", any);
  Take(fees, "LateFail", &s.fee_late, "Fees.", any);
  Take(fees, "Probe", &s.fee_probe, "Fees.", any);
  Take(fees, "Waste", &s.fee_waste, "Fees.", any);
  const Json& rules = Object(root, "Guarantees");
  Take(rules, "AskEvery", &s.poll_interval, "Guarantees.");
  Take(rules, "DrainGrace", &s.drain_grace, "Guarantees.");
  Need(rules, "ColdShare", &s.cold_share, "Guarantees.", {0, 1});
  Need(rules, "OverloadFactor", &s.overload_factor, "Guarantees.");
  Need(rules, "RampTime", &s.ramp_time, "Guarantees.");
  Need(rules, "OverloadFor", &s.overload_for, "Guarantees.");
  return site;
}

Site ParseSettings(std::string_view text) { return ReadSettings(Json::parse(text, nullptr, false)); }

}  // namespace rookgw
