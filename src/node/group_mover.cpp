#include "node/group_mover.h"

#include <algorithm>
#include <utility>

namespace lichenlug::node {

namespace {

constexpr Time kGiveUpAfter = 2 * kSecond;
constexpr Time kPauseAfterFailure = 500 * kMillisecond;
constexpr int kMaxDoublings = 4;
constexpr Time kLongestUnseen =
    2 * kSecond;  // between two calls of Next(); a longer gap means that this process was frozen

}  // namespace

void GroupMover::Look(Time now, const messages::ReplicaGroup& present, const std::vector<Member>& live,
                      Register* looked_at) {
  const bool was_frozen = now - looked_at->seen_at > kLongestUnseen;
  looked_at->seen_at = now;
  if (!SeesMajority(present, live)) {
    looked_at->majority_seen_since.reset();
  } else if (was_frozen || !looked_at->majority_seen_since) {
    looked_at->majority_seen_since = now;
  }
}

std::optional<GroupMove> GroupMover::Next(Time now, const std::string& register_name,
                                          const messages::ReplicaGroup& present,
                                          const std::vector<Member>& live, bool may_change) {
  Register& looked_at = registers_[register_name];
  Look(now, present, live, &looked_at);
  const bool may_begin = may_change && !looked_at.in_flight && now >= looked_at.not_before &&
                         looked_at.majority_seen_since && IsGroupKeeper(live, self_name_);
  if (!may_begin) return std::nullopt;
  auto wanted = PlanGroup(present, live, tolerated_, AbsentMembersOf(now, register_name));
  if (!wanted) return std::nullopt;
  looked_at.in_flight = true;
  const Time timeout = kGiveUpAfter << std::min(looked_at.failures, kMaxDoublings);
  return GroupMove{register_name, std::move(*wanted), present.version(), now + timeout};
}

AbsentMembers GroupMover::AbsentMembersOf(Time now, const std::string& register_name) const {
  const auto found = registers_.find(register_name);
  const bool sees_majority = found != registers_.end() && found->second.majority_seen_since;
  const bool all_have_started = sees_majority && now - *found->second.majority_seen_since >= kStartOfAllTakes;
  return all_have_started ? AbsentMembers::kAreGone : AbsentMembers::kMayStart;
}

void GroupMover::Completed(Time now, const std::string& register_name, bool settled) {
  Register& moved = registers_[register_name];
  moved.in_flight = false;
  if (settled) {
    moved.failures = 0;
    return;
  }
  const Time longest = kPauseAfterFailure << std::min(moved.failures++, kMaxDoublings);
  moved.not_before = now + std::uniform_int_distribution<Time>(longest / 2, longest)(random_);
}

}  // namespace lichenlug::node
