#include "duties/demand_reports.h"

#include <algorithm>
#include <utility>

namespace lichenlug::duties {

namespace {

constexpr Time kReportLifetime = 4 * kSecond;  // since the last report of a dispatcher
constexpr std::size_t kMaxDispatchers = 8192;

bool IsOlder(const messages::DemandReport& a, const messages::DemandReport& b) {
  return std::pair(a.incarnation(), a.number()) < std::pair(b.incarnation(), b.number());
}

}  // namespace

bool DemandReports::Merge(Time now, const messages::DemandReport& report) {
  if (!reports_.contains(report.name()) && reports_.size() >= kMaxDispatchers) return false;
  StoredReport& held = reports_[report.name()];
  if (IsOlder(report, held.report)) return false;
  held = {report, now};
  const auto& models = report.models();
  return std::any_of(models.begin(), models.end(), [](const auto& model) { return model.unserved() > 0; });
}

std::vector<messages::DemandReport> DemandReports::Recent(Time now) {
  std::erase_if(reports_,
                [&](const auto& entry) { return now - entry.second.received_at > kReportLifetime; });
  std::vector<messages::DemandReport> recent;
  for (const auto& [name, held] : reports_) recent.push_back(held.report);
  return recent;
}

}  // namespace lichenlug::duties
