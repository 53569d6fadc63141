#include "registry/merge.h"

#include <algorithm>
#include <utility>

namespace lichenlug::registry {
namespace {

using messages::RunnerRecord;
using messages::RunnerState;

bool IsLost(RunnerState state) { return state == messages::RUNNER_LOST; }
bool IsGone(RunnerState state) { return state == messages::RUNNER_GONE; }

bool HasDrained(const RunnerRecord& record) {
  return record.was_draining() || record.state() == messages::RUNNER_DRAINING;
}

// Carries the draining flag over to a record that replaced another. Returns whether its state changed.
bool KeepDraining(bool has_drained, RunnerRecord* record) {
  if (!has_drained) return false;
  if (!IsAlive(record->state())) return record->set_was_draining(true), false;
  record->clear_was_draining();
  const bool changes = record->state() != messages::RUNNER_DRAINING;
  record->set_state(messages::RUNNER_DRAINING);
  return changes;
}

MergeResult MergeGone(RunnerRecord* held) {
  if (IsGone(held->state())) return MergeResult::kNothing;
  MarkGone(held);
  return MergeResult::kChanged;
}

RunnerRecord ContentOf(RunnerRecord record) {
  record.clear_call_count();
  record.clear_cold_ms();
  record.clear_remaining_ms();
  record.clear_was_draining();
  record.clear_ended_ms_ago();
  return record;
}

std::pair<std::uint64_t, bool> Rank(const Version& version) {
  return {version.call_count, IsLost(version.state)};
}

}  // namespace

bool IsAlive(RunnerState state) {
  return state == messages::RUNNER_READY || state == messages::RUNNER_DRAINING;
}

AnnouncedEnd AnnouncedEndOf(const RunnerRecord& record) {
  if (IsGone(record.state())) return AnnouncedEnd::kGone;
  return HasDrained(record) ? AnnouncedEnd::kDraining : AnnouncedEnd::kNone;
}

Version VersionOf(const RunnerRecord& record) { return {record.call_count(), record.state()}; }

void MarkGone(RunnerRecord* record) {
  record->set_state(messages::RUNNER_GONE);
  record->set_call_count(0);
}

bool HasSameContent(const RunnerRecord& left, const RunnerRecord& right) {
  return ContentOf(left).SerializeAsString() == ContentOf(right).SerializeAsString();
}

bool WouldChange(const Version& held, const Version& offered) {
  if (IsGone(held.state)) return false;
  if (IsGone(offered.state) || Rank(offered) > Rank(held)) return true;
  return offered.state == messages::RUNNER_DRAINING && held.state == messages::RUNNER_READY;
}

MergeResult MergeRecord(const RunnerRecord& offered, bool may_refute, TrackedRunner* runner) {
  RunnerRecord& held = runner->record;
  if (IsGone(held.state()) || IsGone(offered.state())) return MergeGone(&held);

  const bool has_drained = HasDrained(held) || HasDrained(offered);
  if (Rank(VersionOf(offered)) <= Rank(VersionOf(held)))
    return KeepDraining(has_drained, &held) ? MergeResult::kChanged : MergeResult::kNothing;

  const bool refuted = may_refute && IsLost(offered.state()) && IsAlive(held.state()) &&
                       runner->last_call_count > offered.call_count();
  held = offered;
  if (refuted) {
    held.set_state(messages::RUNNER_READY);
    held.set_call_count(runner->last_call_count);
  }
  KeepDraining(has_drained, &held);
  runner->last_call_count = std::max(runner->last_call_count, held.call_count());
  return refuted ? MergeResult::kRefuted : MergeResult::kChanged;
}

}  // namespace lichenlug::registry
