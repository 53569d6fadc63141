#include "placement/fleet_scaler.h"

#include <algorithm>

namespace lichenlug::placement {
namespace {

constexpr double kFullShare = 0.75, kIdleShare = 0.25;  // of a zone's slots
constexpr Time kFullFor = 5 * kSecond, kIdleFor = 30 * kSecond;
constexpr Time kForgetZone = 120 * kSecond;
constexpr std::size_t kMostZones = 1000;

void Stretch(Time now, bool holds, Time* since) {
  if (!holds)
    *since = 0;
  else if (*since == 0)
    *since = now;
}

// Whether each model in demand that the runner holds is held in another zone too.
bool HeldElsewhere(const PlanContext& context, const RunnerView& runner) {
  for (const auto& [model, adapters] : runner.expected.models()) {
    if (!context.demand->OfModel(model).present()) continue;
    const auto& holders = context.view->HoldersOf({model, ""});
    if (std::none_of(holders.begin(), holders.end(),
                     [&](std::size_t holder) { return context.view->runners[holder].zone != runner.zone; }))
      return false;
  }
  return true;
}

}  // namespace

void FleetScaler::Restart() {
  zones_.clear();
  under_way_.reset();
}

void FleetScaler::Measure(const PlanContext& context) {
  for (auto& [name, zone] : zones_) zone.runners = 0, zone.load = 0, zone.may_lose_one = true;
  for (const RunnerView& runner : context.view->runners) {
    if (!zones_.count(runner.zone) && zones_.size() >= kMostZones) continue;
    Zone& zone = zones_[runner.zone];
    ++zone.runners;
    zone.load += runner.load;
    zone.may_lose_one = zone.may_lose_one && HeldElsewhere(context, runner);
    zone.seen = context.now;
  }
  for (auto& [name, zone] : zones_) {
    const double fill = zone.load / context.catalog->slots() / std::max(1, zone.runners);
    Stretch(context.now, fill > kFullShare, &zone.full_since);
    Stretch(context.now, fill < kIdleShare, &zone.idle_since);
  }
  std::erase_if(zones_, [&](const auto& entry) { return context.now - entry.second.seen > kForgetZone; });
}

std::optional<FleetChange> FleetScaler::Decide(const PlanContext& context, const messages::Fleet& fleet) {
  Measure(context);
  if (under_way_ || fleet.maximum() <= 0) return std::nullopt;
  const Time pause = static_cast<Time>(std::clamp(fleet.boot_s(), 1.0, 3600.0) * kSecond);
  for (auto& [name, zone] : zones_) {
    if (zone.changed != 0 && context.now - zone.changed < pause) continue;
    const int size = std::max(zone.ordered, zone.runners);
    int wanted = size;
    if (zone.full_since != 0 && context.now - zone.full_since >= kFullFor) wanted = size + 1;
    if (zone.idle_since != 0 && context.now - zone.idle_since >= kIdleFor && zone.may_lose_one)
      wanted = size - 1;
    if (wanted == size || wanted < std::max(1, fleet.minimum()) || wanted > fleet.maximum()) continue;
    zone.changed = context.now;
    zone.full_since = zone.idle_since = 0;
    under_way_ = FleetChange{name, wanted};
    return under_way_;
  }
  return std::nullopt;
}

void FleetScaler::Ended(Time now, bool taken) {
  if (!under_way_) return;
  const auto zone = zones_.find(under_way_->zone);
  if (zone != zones_.end()) {
    zone->second.changed = now;
    if (taken) zone->second.ordered = under_way_->size;
  }
  under_way_.reset();
}

}  // namespace lichenlug::placement
