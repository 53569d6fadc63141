#include "node/group_mover.h"

#include <algorithm>
#include <utility>

namespace lichenlug::node {

namespace {

constexpr Time kBaseTimeout = 2 * kSecond;
constexpr Time kBaseBackoff = 500 * kMillisecond;
constexpr int kMaxDoublings = 4;
constexpr Time kMaxObservationGap =
    2 * kSecond;  // between two calls of Next(); a longer gap means that this process was frozen

}  // namespace

void GroupMover::ObserveMajority(Time now, const messages::ReplicaGroup& present,
                                 const std::vector<Member>& live, RegisterState* state) {
  const bool was_frozen = now - state->last_observed_at > kMaxObservationGap;
  state->last_observed_at = now;
  if (!SeesMajority(present, live)) {
    state->majority_seen_since.reset();
  } else if (was_frozen || !state->majority_seen_since) {
    state->majority_seen_since = now;
  }
}

std::optional<GroupMove> GroupMover::Next(Time now, const std::string& register_name,
                                          const messages::ReplicaGroup& present,
                                          const std::vector<Member>& live, bool may_change) {
  RegisterState& state = registers_[register_name];
  ObserveMajority(now, present, live, &state);
  const bool may_begin = may_change && !state.in_flight && now >= state.not_before &&
                         state.majority_seen_since && IsGroupKeeper(live, self_name_);
  if (!may_begin) return std::nullopt;
  auto wanted = PlanGroup(present, live, tolerated_, AbsentMembersOf(now, register_name));
  if (!wanted) return std::nullopt;
  state.in_flight = true;
  const Time timeout = kBaseTimeout << std::min(state.failures, kMaxDoublings);
  return GroupMove{register_name, std::move(*wanted), present.version(), now + timeout};
}

AbsentMembers GroupMover::AbsentMembersOf(Time now, const std::string& register_name) const {
  const auto found = registers_.find(register_name);
  const bool sees_majority = found != registers_.end() && found->second.majority_seen_since;
  const bool all_have_started =
      sees_majority && now - *found->second.majority_seen_since >= kFullStartDuration;
  return all_have_started ? AbsentMembers::kAreGone : AbsentMembers::kMayStart;
}

void GroupMover::Completed(Time now, const std::string& register_name, bool settled) {
  RegisterState& moved = registers_[register_name];
  moved.in_flight = false;
  if (settled) {
    moved.failures = 0;
    return;
  }
  const Time backoff = kBaseBackoff << std::min(moved.failures++, kMaxDoublings);
  moved.not_before = now + std::uniform_int_distribution<Time>(backoff / 2, backoff)(random_);
}

}  // namespace lichenlug::node
