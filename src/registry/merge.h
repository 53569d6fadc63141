// Merges two records of one runner. The merge is a join: the maximum is kept separately for draining, for
// gone and for (call count, lost), so it is commutative, associative and idempotent.
#pragma once

#include <cstdint>

#include "base/clock.h"
#include "cluster/runner_list.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::registry {

// A runner as one dispatcher knows it.
struct TrackedRunner {
  messages::RunnerRecord record;
  SharedRunnerRecord listed;          // the record as last listed for readers; null: never
  std::uint64_t last_call_count = 0;  // the highest call count seen, including heartbeats without changes
  Time last_heard = 0;                // when the call count last increased
  Time ended_at = 0;                  // when it was declared lost or removed
  Time spread_at = 0;                 // when this dispatcher last propagated it; 0: never
};

// The part of a record that decides a merge.
struct Version {
  std::uint64_t call_count = 0;
  messages::RunnerState state = messages::RUNNER_READY;
};

enum class MergeResult {
  kNothing,
  kChanged,
  kRefuted,  // the record says lost, but a later heartbeat is known here: propagate the local record instead
};

bool IsAlive(messages::RunnerState state);  // ready or draining

// What a runner has announced about its end. An acknowledged announcement binds all dispatchers.
enum class AnnouncedEnd { kNone, kDraining, kGone };  // ordered: a later one replaces an earlier one
AnnouncedEnd AnnouncedEndOf(const messages::RunnerRecord& record);

Version VersionOf(const messages::RunnerRecord& record);

// Marks a runner as removed. This state is final, so it needs no call count.
void MarkGone(messages::RunnerRecord* record);

// Whether the records are equal in everything that is propagated, that is all but the call count and
// durations.
bool HasSameContent(const messages::RunnerRecord& left, const messages::RunnerRecord& right);

// Whether merging a record of version `offered` into one of version `held` would change it.
bool WouldChange(const Version& held, const Version& offered);

// Merges a record received from another dispatcher into the local one. `may_refute`: false if another runner
// now has the address.
MergeResult MergeRecord(const messages::RunnerRecord& offered, bool may_refute, TrackedRunner* runner);

}  // namespace lichenlug::registry
