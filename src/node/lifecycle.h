// From the start of the process to its exit: when it is ready, and when a drain is over. A state machine.
#pragma once

#include "base/clock.h"

namespace lichenlug::node {

class Lifecycle {
 public:
  // What has to be known before requests are taken.
  struct Knowledge {
    bool configuration_confirmed = false;  // by a majority, in this life
    bool configuration_in_force = false;
    bool runners_settled = false;
  };
  // What is still owed during a drain.
  struct Owed {
    bool requests = false;  // under way
    bool votes = false;     // of the store here, that others could take
  };

  // `grace`: from SIGTERM to SIGKILL.
  explicit Lifecycle(Time grace) : grace_(grace) {}

  // Whether it became ready just now.
  bool BecomesReady(const Knowledge& known);
  // SIGTERM. False where it drains already.
  bool BeginDrain(Time now);
  // To be asked again every kDrainPoll while it drains.
  bool MayExit(Time now, const Owed& owed) const;

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
