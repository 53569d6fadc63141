// Builds the snapshot by which the data plane routes requests.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "configuration/follower.h"
#include "node/node_settings.h"
#include "routing/snapshot.h"

namespace lichenlug::node {

struct SnapshotInput {
  bool runners_known = false;
  std::size_t members = 0;  // live, including this dispatcher
  Time wall_offset = 0;     // true Unix time minus the steady clock
};

// `version` is null while no configuration is in force.
std::shared_ptr<const routing::Snapshot> SnapshotOf(const NodeSettings& settings,
                                                    const configuration::Follower::Version* version,
                                                    std::shared_ptr<const RunnerList> runners,
                                                    const SnapshotInput& facts);

}  // namespace lichenlug::node
