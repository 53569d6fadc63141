// How two records of one runner become one. The merge is a join: of draining, of gone and of (call count,
// lost) the greater is kept, each by itself, so the order and the number of merges do not matter.
#pragma once

#include <cstdint>

#include "base/clock.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::registry {

// A runner as one dispatcher knows it.
struct TrackedRunner {
  messages::RunnerRecord record;
  std::uint64_t heard_count = 0;  // the highest call count known, of heartbeats without news too
  Time last_heard = 0;            // when the call count last rose
  Time ended_at = 0;              // when it was lost or gone
  Time spread_at = 0;             // when this dispatcher last spread it; 0: never
};

// The part of a record that decides a merge.
struct Version {
  std::uint64_t call_count = 0;
  messages::RunnerState state = messages::RUNNER_READY;
};

enum class MergeResult {
  kNothing,
  kChanged,
  kRefuted,  // the record says lost, but a later heartbeat is known here: this one is to be spread instead
};

bool IsAlive(messages::RunnerState state);  // ready or draining
Version VersionOf(const messages::RunnerRecord& record);

// Nothing follows the end that a runner told of, so no count is kept with it.
void MarkGone(messages::RunnerRecord* record);

// Whether all that is worth spreading is the same: anything but the count and the spans of time.
bool SameNews(const messages::RunnerRecord& left, const messages::RunnerRecord& right);

// Whether merging a record of version `offered` into one of version `held` would change it.
bool WouldChange(const Version& held, const Version& offered);

// Merges what another dispatcher tells into what is known here. `may_refute`: false where another runner has
// the address by now.
MergeResult MergeRecord(const messages::RunnerRecord& offered, bool may_refute, TrackedRunner* runner);

}  // namespace lichenlug::registry
