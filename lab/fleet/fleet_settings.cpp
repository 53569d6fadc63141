#include "lab/fleet/fleet_settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lichenlug::lab {

nlohmann::json SettingsOf(const FleetFile& fleet, int ordinal, double job_rate) {
  const Site& site = fleet.day.site;
  static constexpr const char* kEffects[] = {"retryable", "dedup", "fragile"};
  static constexpr const char* kScopes[] = {"all", "zone", "cell"};
  nlohmann::json classes = nlohmann::json::array(), tenants = nlohmann::json::array(),
                 kinds = nlohmann::json::array(), stretch = nlohmann::json::array(),
                 priority = nlohmann::json::array();
  double cold_share = 1;
  Time ramp = 0;
  for (const KindModel& k : site.kinds) {
    kinds.push_back(k.name);
    cold_share = std::min(cold_share, k.cold_from), ramp = std::max(ramp, k.cold_for);
  }
  for (const ClassModel& c : site.classes) {
    classes.push_back({{"Name", c.name},
                       {"Aim", c.aim},
                       {"Deadline", c.deadline},
                       {"Effect", kEffects[static_cast<int>(c.effect)]},
                       {"KeyScope", kScopes[static_cast<int>(c.scope)]},
                       {"LateValue", c.late_worth},
                       {"Window", c.window},
                       {"Worth", c.worth}});
    stretch.push_back(c.stretch), priority.push_back(c.priority);
  }
  for (const TenantModel& t : site.tenants)
    tenants.push_back({{"Name", t.name}, {"Portion", t.share}, {"QuotaPerS", QuotaPerS(site, t, job_rate)}});
  return {{"Dcs", site.zones},
          {"HostTypes", kinds},
          {"MyZone", site.zones[ordinal % site.zones.size()]},
          {"Instances", site.dispatchers},
          {"Ordinal", ordinal},
          {"Tick", site.tick},
          {"Discovery", "on_request"},
          {"Callers", {{"MarksRetry", fleet.marks_again}}},
          {"OverShareWorth", site.over_share_worth},
          {"Fees", {{"CrossZone", site.zones.size() > 1 ? site.fee_cross_zone : 0.0}}},
          {"Limits",
           {{"Cancelling", site.cancelling},
            {"ConnectTimeout", site.net.connect_timeout},
            {"IdleClose", site.net.idle_close},
            {"MaxOpen", 20000},
            {"MaxRetryAfter", site.max_retry_after},
            {"MayTell", fleet.peers},
            {"MostTries", site.max_attempts},
            {"Probes", site.probes},
            {"RetryAfter", site.retry_after}}},
          {"Guarantees",
           {{"AskEvery", 10 * kSecond},
            {"ColdShare", cold_share},
            {"DrainGrace", site.drain_grace},
            {"OverloadFactor", site.overload_factor},
            {"OverloadFor", site.overload_for},
            {"RampTime", ramp}}},
          {"Report", {{"Fields", {"active", "cpu", "x0"}}, {"How", "probe"}}},
          {"RequestClasses", classes},
          {"Specifics",
           {{"ReportX0", "free slots"},
            {"TellsStart", site.starts_told},
            {"ClassStretch", stretch},
            {"ClassPriority", priority}}},
          {"Tenants", tenants}};
}

}  // namespace lichenlug::lab
