#include "node/service_placements.h"

#include <algorithm>
#include <utility>

#include "duties/load_history.h"
#include "node/duty_registers.h"

namespace lichenlug::node {

ServicePlacements::ServicePlacements(const NodeSettings& settings, std::uint64_t seed) {
  settings_.holder = settings.name;
  settings_.origin_window = settings.bounds.origin_window;
  settings_.origin_overage = settings.bounds.origin_overage;
  settings_.lease = settings.bounds.lease;
  settings_.heartbeat = settings.heartbeat_interval;
  settings_.scale = settings.duty_fleet;
  settings_.seed = seed;
}

placement::Placement& ServicePlacements::PlacementOf(const std::string& service) {
  auto& placement = placements_[service];
  if (!placement) {
    placement::Placement::Settings settings = settings_;
    settings.service = service;
    placement = std::make_unique<placement::Placement>(settings);
  }
  return *placement;
}

std::vector<ServicePlacements::Call> ServicePlacements::Act(Time now, const Facts& facts) {
  std::vector<Call> all;
  std::optional<std::vector<messages::DemandReport>> demand;
  for (const messages::Service& service : facts.configuration->services()) {
    if (!service.has_engine()) continue;
    const duties::Ownership* ownership = facts.ownership_of(service.name());
    const bool holds = ownership != nullptr && ownership->Holds(now);
    if (!holds && placements_.count(service.name()) == 0) continue;
    if (!demand) demand = facts.demand();
    placement::Placement::Input input;
    input.service = &service;
    input.runners = facts.runners;
    input.demand = &*demand;
    input.holds = holds;
    input.epoch = holds ? ownership->epoch() : 0;
    if (holds && ownership->lease_started_at()) {
      input.loads = duties::FindLoads(ownership->state(), service.name());
      input.lease_started_at = *ownership->lease_started_at();
    }
    std::vector<duties::HttpCall> calls;
    PlacementOf(service.name()).Act(now, input, &calls);
    for (duties::HttpCall& call : calls) all.push_back({service.name(), std::move(call)});
  }
  return all;
}

void ServicePlacements::Completed(Time now, const std::string& service, std::uint64_t tag,
                                  const duties::HttpResult& result) {
  PlacementOf(service).Completed(now, tag, result);
}

std::optional<Time> ServicePlacements::NextTimer() const {
  std::optional<Time> next;
  for (const auto& [service, placement] : placements_) {
    const std::optional<Time> timer = placement->NextTimer();
    if (timer) next = std::min(next.value_or(*timer), *timer);
  }
  return next;
}

std::vector<messages::LoadHistory> ServicePlacements::RecentLoads(Time now, const std::string& register_name,
                                                                  std::uint64_t epoch, bool resigned) const {
  std::vector<messages::LoadHistory> loads;
  for (const auto& [service, placement] : placements_) {
    if (ShardRegister(service) != register_name) continue;
    if (auto history = placement->LoadHistoryForRenewal(now, epoch, resigned))
      loads.push_back(std::move(*history));
  }
  return loads;
}

std::vector<std::string> ServicePlacements::TakeNotices() {
  std::vector<std::string> lines;
  for (const auto& [service, placement] : placements_) {
    for (const std::string& notice : placement->TakeNotices()) {
      lines.push_back(service);
      lines.back().append(": ").append(notice);
    }
  }
  return lines;
}

std::vector<std::string> ServicePlacements::Explain(Time now) const {
  std::vector<std::string> lines;
  for (const auto& [service, placement] : placements_) {
    for (const std::string& line : placement->Explain(now)) {
      lines.push_back(service);
      lines.back().append(": ").append(line);
    }
  }
  return lines;
}

}  // namespace lichenlug::node
