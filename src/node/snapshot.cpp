#include "node/snapshot.h"

#include <algorithm>
#include <utility>

namespace lichenlug::node {

std::shared_ptr<const routing::Snapshot> SnapshotOf(const NodeSettings& settings,
                                                    const configuration::Follower::Version* version,
                                                    std::shared_ptr<const RunnerList> runners,
                                                    const SnapshotInput& facts) {
  auto snapshot = std::make_shared<routing::Snapshot>();
  if (version != nullptr) {
    snapshot->revision = version->revision;
    snapshot->configuration = version->configuration;
  }
  snapshot->runners = std::move(runners);
  snapshot->runners_known = facts.runners_known;
  snapshot->live_dispatchers = static_cast<int>(std::max<std::size_t>(facts.members, 1));
  snapshot->zone = settings.zone;
  snapshot->wall_offset = facts.wall_offset;
  snapshot->mechanisms = settings.mechanisms;
  snapshot->bounds.retry_ratio = settings.bounds.retry_ratio;
  snapshot->bounds.retry_window = settings.bounds.retry_window;
  snapshot->bounds.retry_slack = settings.bounds.retry_slack;
  snapshot->bounds.report_window = settings.bounds.report_window;
  snapshot->bounds.retry_budget = settings.retry_budget;
  return snapshot;
}

}  // namespace lichenlug::node
