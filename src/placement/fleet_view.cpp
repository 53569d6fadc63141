#include "placement/fleet_view.h"

#include <algorithm>

namespace lichenlug::placement {
namespace {

constexpr int kIterations = 4;
constexpr double kMinWeight = 0.05;
const std::vector<std::size_t> kNoHolders;

}  // namespace

const char* ToText(Urgency urgency) {
  switch (urgency) {
    case Urgency::kMissing:
      return "in demand and held by no ready runner";
    case Urgency::kOverload:
      return "demand exceeds the capacity of its runners";
    case Urgency::kRelief:
      return "its runners are full while others are not";
    case Urgency::kSpare:
      return "busy, and there is spare capacity";
    case Urgency::kPrefetch:
      return "held by no runner, and there is spare capacity";
  }
  return "";
}

const std::vector<std::size_t>& FleetView::HoldersOf(const Key& key) const {
  const auto it = holders.find(key);
  return it == holders.end() ? kNoHolders : it->second;
}

void FleetView::AddExpected(std::size_t runner, const Key& key) {
  RunnerView& view = runners[runner];
  if (view.expected.Holds(key)) return;
  view.expected.Add(key);
  holders[key].push_back(runner);
}

bool FleetView::OnDisk(const std::string& address, const std::string& model) const {
  if (!disks) return false;
  const auto it = disks->find(address);
  return it != disks->end() && it->second.count(model) > 0;
}

void EstimateLoads(const DemandTable& demand, int slots, FleetView* view) {
  std::vector<double> load(view->runners.size(), 0.0);
  for (int round = 0; round < kIterations; ++round) {
    std::vector<double> next(load.size(), 0.0);
    for (const auto& [key, entry] : demand.keys()) {
      const std::vector<std::size_t>& holders = view->HoldersOf(key);
      const auto weight = [&](std::size_t runner) { return std::max(kMinWeight, 1 - load[runner] / slots); };
      double sum = 0;
      for (std::size_t runner : holders) sum += weight(runner);
      for (std::size_t runner : holders) next[runner] += entry.running * weight(runner) / sum;
    }
    // Damped by half in each round: undamped, the shares would oscillate.
    for (std::size_t i = 0; i < load.size(); ++i) load[i] = round == 0 ? next[i] : (load[i] + next[i]) / 2;
  }
  for (std::size_t i = 0; i < load.size(); ++i) view->runners[i].load = load[i];
}

}  // namespace lichenlug::placement
