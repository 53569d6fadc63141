// The lifecycle of the process: when it becomes ready, and when a drain is complete. A state machine.
#pragma once

#include "base/clock.h"

namespace lichenlug::node {

class Lifecycle {
 public:
  // What must be known before requests are accepted.
  struct ReadinessConditions {
    bool configuration_confirmed = false;  // by a majority, since the process started
    bool configuration_in_force = false;
    bool runners_settled = false;
  };
  // Work that is still pending during a drain.
  struct PendingWork {
    bool requests = false;  // in flight, or still accepted
    bool votes = false;     // of the local store that other members could take over
  };

  // `grace`: from SIGTERM to SIGKILL.
  explicit Lifecycle(Time grace) : grace_(grace) {}

  // Returns true once, when the process becomes ready.
  bool BecomesReady(const ReadinessConditions& conditions);
  // SIGTERM. Returns false if the process is already draining.
  bool BeginDrain(Time now);
  // Whether nothing but requests delays the exit, so that they may stop being accepted. `votes`: of
  // PendingWork. Poll every kDrainPoll while draining, like MayExit().
  bool MayStopRequests(Time now, bool votes) const;
  // Whether so little of the grace period is left that requests get their final answers now.
  bool MustStopRequests(Time now) const;
  bool MayExit(Time now, const PendingWork& pending) const;

  bool is_ready() const { return phase_ == Phase::kReady; }
  bool is_draining() const { return phase_ == Phase::kDraining; }
  bool has_started() const { return phase_ != Phase::kStarting; }

 private:
  enum class Phase { kStarting, kReady, kDraining };

  Time grace_;
  Phase phase_ = Phase::kStarting;
  Time drain_began_ = 0;
};

inline constexpr Time kDrainPoll = 100 * kMillisecond;

}  // namespace lichenlug::node
