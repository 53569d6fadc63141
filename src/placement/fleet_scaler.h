// Decides how many runners each zone should have, for services whose fleets are scaled. The fleet is sized so
// that all models fit into the runners' memory, busy ones in several copies, and the runners are divided
// among the zones. Beyond that, a zone grows by one runner at a time under sustained overload and shrinks by
// one at a time when idle. Disabled by default in the settings.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "messages/generated/configuration.pb.h"
#include "placement/demand_table.h"
#include "placement/eviction.h"

namespace lichenlug::placement {

struct FleetChange {
  std::string zone;
  int size = 0;
};

class FleetScaler {
 public:
  void Restart(Time now);  // a new epoch has begun
  // Returns at most one change at a time. No further change is returned until ChangeCompleted() reports its
  // outcome.
  std::optional<FleetChange> Decide(const PlanContext& context, const messages::Fleet& fleet);
  void ChangeCompleted(Time now, bool accepted);

 private:
  struct Zone {
    int runners = 0;
    int ordered = 0;  // size last accepted by the platform; 0 if none
    int wanted = 0;   // size that the models need
    double load = 0;
    bool can_shrink = true;
    Time last_seen = 0, overloaded_since = 0, idle_since = 0, last_changed = 0;
  };
  void Measure(const PlanContext& context);
  void DistributeRunners(int runners, int maximum);
  static int TargetSize(const PlanContext& context, const Zone& zone, const messages::Fleet& fleet);

  std::map<std::string, Zone> zones_;
  std::optional<FleetChange> in_flight_;
  Time started_at_ = 0;  // start of the epoch
};

}  // namespace lichenlug::placement
