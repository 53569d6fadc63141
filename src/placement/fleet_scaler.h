// How many runners a zone should have, for services whose fleets may grow. All models are to fit into the
// runners' memory, the busy ones in several copies; a zone has its part of the runners that takes. Beyond
// that a zone grows one runner at a time under lasting overload, and shrinks one at a time when it lies idle.
// Off unless the settings ask for it.
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
  void Restart(Time now);  // another epoch
  // At most one change at a time; to be told how it ended.
  std::optional<FleetChange> Decide(const PlanContext& context, const messages::Fleet& fleet);
  void Ended(Time now, bool taken);

 private:
  struct Zone {
    int runners = 0;
    int ordered = 0;  // 0: nothing was
    int wanted = 0;   // for the models
    double load = 0;
    bool may_lose_one = true;
    Time seen = 0, full_since = 0, idle_since = 0, changed = 0;
  };
  void Measure(const PlanContext& context);
  void ShareOut(int runners, int maximum);
  static int SizeFor(const PlanContext& context, const Zone& zone, const messages::Fleet& fleet);

  std::map<std::string, Zone> zones_;
  std::optional<FleetChange> in_flight_;
  Time started_at_ = 0;  // of the epoch
};

}  // namespace lichenlug::placement
