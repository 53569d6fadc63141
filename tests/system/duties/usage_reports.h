// Values for tests of usage reports.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "duties/usage.h"

namespace lichenlug::duties {

inline constexpr Time kWindow = 5 * kSecond;
inline constexpr Time kLate = 10 * kSecond;
inline constexpr std::int64_t kFirst = 350000000;  // a realistic window number
inline constexpr Time kStart = kFirst * kWindow;

using CountByTenant = std::map<std::string, std::uint64_t>;

inline messages::UsageReport MakeReport(const std::string& name, std::uint64_t incarnation,
                                        std::int64_t window, const CountByTenant& counts) {
  messages::UsageReport report;
  report.set_name(name);
  report.set_incarnation(incarnation);
  auto* window_counts = report.add_windows();
  window_counts->set_window(window);
  for (const auto& [tenant, count] : counts) {
    auto* entry = window_counts->add_counts();
    entry->set_tenant(tenant);
    entry->set_count(count);
  }
  return report;
}

inline CountByTenant CountsOf(const messages::WindowCount& tally) {
  CountByTenant counts;
  for (const auto& entry : tally.counts()) counts[entry.tenant()] = entry.count();
  return counts;
}

inline std::int64_t WindowIn(const HttpCall& call) {
  return nlohmann::json::parse(call.body).at("window_no").get<std::int64_t>();
}

}  // namespace lichenlug::duties
