#include "node/lifecycle.h"

namespace lichenlug::node {

namespace {

constexpr Time kMinNotReadyTime =
    2500 * kMillisecond;  // the platform needs two failed readiness checks, 1 s apart
constexpr Time kVoteHandOverTimeout =
    5 * kSecond;  // time limit for handing this store's votes over to live members
constexpr Time kExitReserve = 700 * kMillisecond;          // before SIGKILL
constexpr Time kFinalAnswerReserve = 1000 * kMillisecond;  // before SIGKILL; the answers have yet to be sent

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

bool Lifecycle::MayStopRequests(Time now, bool votes) const {
  if (!is_draining()) return false;
  const Time since = now - drain_began_;
  const bool hands_over = votes && since < kVoteHandOverTimeout;
  return since >= kMinNotReadyTime && !hands_over;
}

bool Lifecycle::MustStopRequests(Time now) const {
  return is_draining() && now - drain_began_ > grace_ - kFinalAnswerReserve;
}

bool Lifecycle::MayExit(Time now, const PendingWork& pending) const {
  if (!is_draining()) return false;
  if (now - drain_began_ > grace_ - kExitReserve) return true;
  return MayStopRequests(now, pending.votes) && !pending.requests;
}

}  // namespace lichenlug::node
