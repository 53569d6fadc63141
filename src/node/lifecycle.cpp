#include "node/lifecycle.h"

namespace lichenlug::node {

namespace {

constexpr Time kMinNotReadyTime =
    2500 * kMillisecond;  // the platform needs two failed readiness checks, 1 s apart
constexpr Time kVoteHandOverTimeout =
    5 * kSecond;  // time limit for handing this store's votes over to live members
constexpr Time kExitReserve = 700 * kMillisecond;  // before SIGKILL

}  // namespace

bool Lifecycle::BecomesReady(const ReadinessConditions& conditions) {
  const bool is_complete =
      conditions.configuration_confirmed && conditions.configuration_in_force && conditions.runners_settled;
  if (phase_ != Phase::kStarting || !is_complete) return false;
  phase_ = Phase::kReady;
  return true;
}

bool Lifecycle::BeginDrain(Time now) {
  if (is_draining()) return false;
  phase_ = Phase::kDraining;
  drain_began_ = now;
  return true;
}

bool Lifecycle::MayExit(Time now, const PendingWork& pending) const {
  if (!is_draining()) return false;
  const Time since = now - drain_began_;
  if (since > grace_ - kExitReserve) return true;
  const bool hands_over = pending.votes && since < kVoteHandOverTimeout;
  return since >= kMinNotReadyTime && !pending.requests && !hands_over;
}

}  // namespace lichenlug::node
