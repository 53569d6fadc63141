#include "branch/load_report.h"

#include <nlohmann/json.hpp>

namespace lichenlug {

rookgw::LoadReport ParseLoadReport(const nlohmann::json& object, const rookgw::Site& site) {
  rookgw::LoadReport report;
  if (!object.is_object()) return report;
  for (const auto& [name, value] : object.items()) {
    if (!value.is_number()) continue;
    const double number = value.get<double>();
    // The names in reports on the wire, then the names of the same figures in the settings.
    if (name == "inflight" || name == "active") report.active = number;
    if (name == "queue" || name == "waiting") report.waiting = number;
    if (name == "x0" && site.x0_is_slots) report.free_slots = number;
    if (name == "x1" && site.x1_is_memory) report.free_memory = number;
  }
  return report;
}

}  // namespace lichenlug
