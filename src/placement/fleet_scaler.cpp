#include "placement/fleet_scaler.h"

#include <algorithm>
#include <cmath>

namespace lichenlug::placement {
namespace {

constexpr double kOverloadShare = 0.75, kIdleShare = 0.25;  // of a zone's slots
constexpr Time kOverloadDuration = 5 * kSecond, kIdleDuration = 30 * kSecond;
constexpr Time kZoneLifetime = 120 * kSecond;
constexpr Time kWarmUpTime = 4 * kSecond;  // since the epoch began; several heartbeat periods
// Models differ in size, so a fraction of each runner's memory stays unused.
constexpr double kPackingFactor = 0.95;
constexpr double kCopyFill = 0.4;              // target fraction of a runner's slots per copy of a busy model
constexpr int kMinStep = 2, kStepDivisor = 3;  // a zone grows by this many, or by 1/kStepDivisor, at a time
constexpr std::size_t kMaxZones = 1000;

void UpdateSince(Time now, bool condition, Time* since) {
  if (!condition)
    *since = 0;
  else if (*since == 0)
    *since = now;
}

// Whether every model in demand on the runner is also held in another zone.
bool HeldInOtherZones(const PlanContext& context, const RunnerView& runner) {
  for (const auto& [model, adapters] : runner.expected.models()) {
    if (!context.demand->OfModel(model).present()) continue;
    const auto& holders = context.view->HoldersOf({model, ""});
    if (std::none_of(holders.begin(), holders.end(),
                     [&](std::size_t holder) { return context.view->runners[holder].zone != runner.zone; }))
      return false;
  }
  return true;
}

double CopiesNeeded(const PlanContext& context, const std::string& model) {
  const Demand& demand = context.demand->OfModel(model);
  const double copies = std::ceil(demand.running / (kCopyFill * context.catalog->slots()));
  return std::max(copies, demand.arrivals_per_s > kSecondCopyArrivalsPerS ? 2.0 : 1.0);
}

// The number of runners whose memory fits all models, each in as many copies as its demand needs.
int RunnersForModels(const PlanContext& context) {
  if (context.catalog->capacity_mb() <= 0) return 0;
  double megabytes = 0;
  for (const auto& [name, model] : context.catalog->models())
    megabytes += model.weights_mb * CopiesNeeded(context, name);
  return static_cast<int>(std::ceil(megabytes / (kPackingFactor * context.catalog->capacity_mb())));
}

}  // namespace

void FleetScaler::Restart(Time now) {
  zones_.clear();
  in_flight_.reset();
  started_at_ = now;
}

void FleetScaler::Measure(const PlanContext& context) {
  for (auto& [name, zone] : zones_) zone.runners = 0, zone.load = 0, zone.can_shrink = true;
  for (const RunnerView& runner : context.view->runners) {
    if (!zones_.count(runner.zone) && zones_.size() >= kMaxZones) continue;
    Zone& zone = zones_[runner.zone];
    ++zone.runners;
    zone.load += runner.load;
    zone.can_shrink = zone.can_shrink && HeldInOtherZones(context, runner);
    zone.last_seen = context.now;
  }
  for (auto& [name, zone] : zones_) {
    const double fill = zone.load / context.catalog->slots() / std::max(1, zone.runners);
    UpdateSince(context.now, fill > kOverloadShare, &zone.overloaded_since);
    UpdateSince(context.now, fill < kIdleShare, &zone.idle_since);
  }
  std::erase_if(zones_,
                [&](const auto& entry) { return context.now - entry.second.last_seen > kZoneLifetime; });
}

// Divides the runners evenly among the zones. A zone that has more than an even share keeps its runners, and
// the others share the rest.
void FleetScaler::DistributeRunners(int runners, int maximum) {
  for (auto& [name, zone] : zones_) zone.wanted = std::min(std::max(zone.ordered, zone.runners), maximum);
  int missing = runners;
  for (const auto& [name, zone] : zones_) missing -= zone.wanted;
  for (; missing > 0; --missing) {
    const auto smallest = std::min_element(zones_.begin(), zones_.end(), [](const auto& a, const auto& b) {
      return a.second.wanted < b.second.wanted;
    });
    if (smallest == zones_.end() || smallest->second.wanted >= maximum) return;
    ++smallest->second.wanted;
  }
}

int FleetScaler::TargetSize(const PlanContext& context, const Zone& zone, const messages::Fleet& fleet) {
  const int size = std::max(zone.ordered, zone.runners);
  if (zone.wanted > size) return std::min(zone.wanted, size + std::max(kMinStep, size / kStepDivisor));
  if (zone.overloaded_since != 0 && context.now - zone.overloaded_since >= kOverloadDuration) return size + 1;
  const bool idle = zone.idle_since != 0 && context.now - zone.idle_since >= kIdleDuration;
  if (idle && zone.can_shrink && size > std::max(1, fleet.minimum())) return size - 1;
  return size;
}

std::optional<FleetChange> FleetScaler::Decide(const PlanContext& context, const messages::Fleet& fleet) {
  Measure(context);
  if (in_flight_ || fleet.maximum() <= 0 || context.now - started_at_ < kWarmUpTime) return std::nullopt;
  const int for_models = RunnersForModels(context);
  DistributeRunners(for_models, fleet.maximum());
  int runners = 0;
  for (const auto& [name, zone] : zones_) runners += std::max(zone.ordered, zone.runners);
  const Time pause = static_cast<Time>(std::clamp(fleet.boot_s(), 1.0, 3600.0) * kSecond);
  for (auto& [name, zone] : zones_) {
    if (zone.last_changed != 0 && context.now - zone.last_changed < pause) continue;
    const int size = std::max(zone.ordered, zone.runners);
    const int wanted = TargetSize(context, zone, fleet);
    const bool shrinks_too_far = wanted < size && runners <= for_models;
    if (wanted == size || wanted > fleet.maximum() || shrinks_too_far) continue;
    zone.last_changed = context.now;
    zone.overloaded_since = zone.idle_since = 0;
    in_flight_ = FleetChange{name, wanted};
    return in_flight_;
  }
  return std::nullopt;
}

void FleetScaler::ChangeCompleted(Time now, bool accepted) {
  if (!in_flight_) return;
  const auto zone = zones_.find(in_flight_->zone);
  if (zone != zones_.end()) {
    zone->second.last_changed = now;
    if (accepted) zone->second.ordered = in_flight_->size;
  }
  in_flight_.reset();
}

}  // namespace lichenlug::placement
