// The state that the control plane gives to the data plane: immutable, replaced as a whole.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/mechanisms.h"
#include "cluster/runner_list.h"
#include "messages/generated/configuration.pb.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::routing {

struct Bounds {  // limits of the deployment, from the settings
  double retry_ratio = 0.2;
  Time retry_window = 10 * kSecond;
  double retry_slack = 60;
  Time report_window = 5 * kSecond;  // of usage reports
  bool retry_budget = true;          // whether the retry budget is enforced
};

struct Snapshot {
  std::uint64_t revision = 0;  // of the configuration; 0: none yet, so nothing is served
  std::shared_ptr<const messages::Configuration> configuration;
  std::shared_ptr<const RunnerList> runners;
  bool runners_known = true;  // false after a start until every runner has had time to send a heartbeat
  int live_dispatchers = 1;   // this one included
  std::string zone;           // of this dispatcher
  Time wall_offset = 0;       // Unix time minus the steady clock
  Bounds bounds;
  Mechanisms mechanisms;
};

}  // namespace lichenlug::routing
