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
constexpr double kMaxNumber = 1e15;

struct Range {
  double min = 0, max = kMaxNumber;
};

[[noreturn]] void ThrowExpected(const std::string& path, const std::string& expected) {
  throw SettingsError("settings: " + path + ": " + expected + " expected");
}

std::string FormatNumber(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%.15g", number);
  return text;
}

template <typename T>
T ParseValue(const Json& value, const std::string& path, Range range = {}) {
  if constexpr (std::is_same_v<T, bool>) {
    if (!value.is_boolean()) ThrowExpected(path, "true or false");
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!value.is_string()) ThrowExpected(path, "text");
  } else {  // checked as a double: a conversion to T would truncate values that do not fit
    constexpr bool kWhole = std::is_integral_v<T>;
    if constexpr (kWhole) range.max = std::min(range.max, 1.0 * std::numeric_limits<T>::max());
    const double number = value.is_number() ? value.get<double>() : std::nan("");
    if (!(number >= range.min && number <= range.max) || (kWhole && number != std::floor(number)))
      ThrowExpected(path, (kWhole ? "a whole number from " : "a number from ") + FormatNumber(range.min) +
                              " to " + FormatNumber(range.max));
  }
  return value.get<T>();
}

// Returns false and keeps the default if the key is absent.
template <typename T>
bool ReadOptional(const Json& object, const char* key, T* value, const std::string& path = "",
                  Range range = {}) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return false;
  *value = ParseValue<T>(*it, path + key, range);
  return true;
}

template <typename T>
void ReadRequired(const Json& object, const char* key, T* value, const std::string& path = "",
                  Range range = {}) {
  if (!ReadOptional(object, key, value, path, range))
    throw SettingsError("settings: " + path + key + ": missing");
}

const Json& ChildOrEmpty(const Json& object, const char* key, Json::value_t type) {
  static const Json empty_object = Json::object(), empty_array = Json::array();
  auto it = object.find(key);
  if (it == object.end() || it->is_null()) return type == Json::value_t::object ? empty_object : empty_array;
  if (it->type() != type) ThrowExpected(key, type == Json::value_t::object ? "an object" : "a list");
  return *it;
}

const Json& ObjectAt(const Json& object, const char* key) {
  return ChildOrEmpty(object, key, Json::value_t::object);
}
const Json& ArrayAt(const Json& object, const char* key) {
  return ChildOrEmpty(object, key, Json::value_t::array);
}

std::string ItemPath(const char* list, std::size_t i) {
  return std::string(list) + "[" + std::to_string(i) + "]";
}

std::vector<std::string> ReadNames(const Json& object, const char* key,
                                   std::unordered_map<std::string, int>* index) {
  std::vector<std::string> names;
  for (const Json& name : ArrayAt(object, key)) {
    names.push_back(ParseValue<std::string>(name, ItemPath(key, names.size())));
    index->emplace(names.back(), static_cast<int>(names.size()) - 1);
  }
  return names;
}

// Reads the required, unique name of a class or tenant; `path` names the entry in errors.
void ReadUniqueName(const Json& object, std::string* name, const std::string& path,
                    std::unordered_map<std::string, int>* index) {
  ReadRequired(object, "Name", name, path);
  const bool fresh = index->emplace(*name, static_cast<int>(index->size())).second;
  if (name->empty() || !fresh) ThrowExpected(path + "Name", "a name that no other has");
}

template <typename T>
void ReadItem(const Json& specifics, const char* key, std::size_t i, T* value, Range range) {
  const Json& list = ArrayAt(specifics, key);
  if (i < list.size() && !list[i].is_null())
    *value = ParseValue<T>(list[i], "Specifics." + ItemPath(key, i), range);
}

ClassSettings ParseClass(const Json& c, std::size_t i, const Json& specifics, Site* site) {
  const std::string path = ItemPath("RequestClasses", i) + ".";
  ClassSettings out;
  std::string effect, scope = "all";
  ReadUniqueName(c, &out.name, path, &site->classes);
  ReadRequired(c, "Aim", &out.aim, path);
  ReadRequired(c, "Deadline", &out.deadline, path);
  ReadRequired(c, "Effect", &effect, path);
  ReadOptional(c, "KeyScope", &scope, path);
  ReadOptional(c, "LateValue", &out.late_value, path);
  ReadOptional(c, "Stream", &out.stream, path);
  const bool has_window = ReadOptional(c, "Window", &out.window, path);
  ReadOptional(c, "Worth", &out.worth, path);
  ReadOptional(c, "AimStretch", &out.stretch, path);
  // A request is ended two ticks before its deadline, so with a shorter one none could ever be dispatched.
  const Time margin = 2 * site->settings.tick;
  if (out.deadline <= margin)
    ThrowExpected(path + "Deadline", "more than two ticks (" + std::to_string(margin) + ")");
  if (effect == "retryable")
    out.effect = Effect::kRepeatable;
  else if (effect == "dedup")
    out.effect = Effect::kKeyed;
  else if (effect == "fragile")
    out.effect = Effect::kUnsafe;
  else
    ThrowExpected(path + "Effect", "retryable, dedup or fragile");
  if (scope == "zone")
    out.scope = KeyScope::kZone;
  else if (scope == "cell")
    out.scope = KeyScope::kCell;
  else if (scope != "all")
    ThrowExpected(path + "KeyScope", "all, zone or cell");
  // Without a window, none of its jobs is sent a second time.
  if (out.effect == Effect::kKeyed && has_window && out.window == 0)
    throw SettingsError("settings: " + path + "Window: above 0 expected for dedup");
  const double kinds = static_cast<double>(site->settings.kinds.size());
  ReadItem(specifics, "ClassKind", i, &out.kind, {kNone, kinds - 1});
  ReadItem(specifics, "ClassPriority", i, &out.priority, {-1e9, 1e9});
  ReadItem(specifics, "ClassStretch", i, &out.stretch, {});
  return out;
}

void ParseReport(const Json& root, Site* site) {
  Settings& s = site->settings;
  const Json& report = ObjectAt(root, "Report");
  std::string how = "none";
  ReadOptional(report, "How", &how, "Report.");
  if (how == "answers")
    s.reports = Settings::Reports::kAnswers;
  else if (how == "probe")
    s.reports = Settings::Reports::kProbe;
  else if (how != "none")
    ThrowExpected("Report.How", "answers, probe or none");
  std::unordered_map<std::string, int> unused;
  site->report_fields = ReadNames(report, "Fields", &unused);
  std::string x0, x1;
  const Json& specifics = ObjectAt(root, "Specifics");
  ReadOptional(specifics, "ReportX0", &x0, "Specifics.");
  ReadOptional(specifics, "ReportX1", &x1, "Specifics.");
  site->x0_is_slots = x0 == "free slots";
  site->x1_is_memory = x1 == "free memory";
  for (const std::string& field : site->report_fields) {
    s.reports_slots |= field == "x0" && site->x0_is_slots;
    s.reports_memory |= field == "x1" && site->x1_is_memory;
    s.reports_waiting |= field == "waiting";
    s.reports_active |= field == "active";
  }
  ReadOptional(specifics, "Progress", &s.progress, "Specifics.");
  ReadOptional(specifics, "TellsStart", &s.reports_starts, "Specifics.");
}

}  // namespace

Site ReadSettings(const Json& root) {
  if (!root.is_object()) throw SettingsError("settings: a JSON object expected");
  Site site;
  Settings& s = site.settings;
  s.zones = ReadNames(root, "Dcs", &site.zones);
  s.kinds = ReadNames(root, "HostTypes", &site.kinds);
  ReadRequired(root, "Instances", &s.instances, "", {1});
  ReadRequired(root, "Ordinal", &s.ordinal, "", {0, s.instances - 1.0});
  std::string zone, discovery = "pushed", weights = "none";
  ReadOptional(root, "MyZone", &zone);
  if (auto it = site.zones.find(zone); it != site.zones.end()) s.my_zone = it->second;
  ReadOptional(root, "Discovery", &discovery);
  if (discovery != "pushed" && discovery != "on_request") ThrowExpected("Discovery", "pushed or on_request");
  s.list_on_request = discovery == "on_request";
  ReadOptional(root, "Weights", &weights);
  s.reports_weights = weights != "none";
  s.weights_live = weights == "live";
  ReadOptional(ObjectAt(root, "Callers"), "MarksRetry", &s.repeats_marked, "Callers.");
  ReadOptional(root, "OverShareWorth", &s.over_share_worth);
  ReadOptional(root, "Tick", &s.tick, "", {1});
  const Json& specifics = ObjectAt(root, "Specifics");
  for (const Json& c : ArrayAt(root, "RequestClasses"))
    s.classes.push_back(ParseClass(c, s.classes.size(), specifics, &site));
  if (s.classes.empty()) ThrowExpected("RequestClasses", "at least one class");
  for (const Json& t : ArrayAt(root, "Tenants")) {
    const std::string path = ItemPath("Tenants", s.tenants.size()) + ".";
    TenantSettings out;
    ReadUniqueName(t, &out.name, path, &site.tenants);
    ReadOptional(t, "Portion", &out.portion, path, {0, 1});
    ReadOptional(t, "QuotaPerS", &out.quota_per_s, path);
    s.tenants.push_back(std::move(out));
  }
  const Json& limits = ObjectAt(root, "Limits");
  ReadRequired(limits, "MostTries", &s.max_attempts, "Limits.", {1});
  ReadOptional(limits, "Probes", &s.probes, "Limits.");
  ReadOptional(limits, "Cancelling", &s.cancelling, "Limits.");
  ReadOptional(limits, "SecondCopies", &s.second_copies, "Limits.");
  ReadOptional(limits, "RetryAfter", &s.retry_after, "Limits.");
  ReadOptional(limits, "MaxRetryAfter", &s.max_retry_after, "Limits.");
  s.connect_timeout = 200'000;
  ReadOptional(limits, "ConnectTimeout", &s.connect_timeout, "Limits.");
  ReadOptional(limits, "CpuUsPerS", &s.cpu_us_per_s, "Limits.");
  ReadOptional(limits, "CpuUsPerRequest", &s.cpu_us_per_request, "Limits.");
  ReadOptional(limits, "MaxOpen", &site.max_open, "Limits.");
  ReadOptional(limits, "IdleClose", &site.idle_close, "Limits.");
  ReadOptional(limits, "MayTell", &site.allow_peer_messages, "Limits.");
  ParseReport(root, &site);
  const Json& fees = ObjectAt(root, "Fees");
  const Range any{-kMaxNumber, kMaxNumber};
  ReadOptional(fees, "CrossZone", &s.fee_cross_zone, "Fees.", any);
  ReadOptional(fees, "Origin", &s.fee_fetch, "Fees.", any);
  ReadOptional(fees, "Handshake", &s.fee_handshake, "Fees.", any);
  ReadOptional(fees, "LateFail", &s.fee_late, "Fees.", any);
  ReadOptional(fees, "Probe", &s.fee_probe, "Fees.", any);
  ReadOptional(fees, "Waste", &s.fee_waste, "Fees.", any);
  const Json& guarantees = ObjectAt(root, "Guarantees");
  ReadOptional(guarantees, "AskEvery", &s.poll_interval, "Guarantees.");
  ReadOptional(guarantees, "DrainGrace", &s.drain_grace, "Guarantees.");
  ReadRequired(guarantees, "ColdShare", &s.cold_share, "Guarantees.", {0, 1});
  ReadRequired(guarantees, "OverloadFactor", &s.overload_factor, "Guarantees.");
  ReadRequired(guarantees, "RampTime", &s.ramp_time, "Guarantees.");
  ReadRequired(guarantees, "OverloadFor", &s.overload_for, "Guarantees.");
  return site;
}

Site ParseSettings(std::string_view text) { return ReadSettings(Json::parse(text, nullptr, false)); }

}  // namespace rookgw
