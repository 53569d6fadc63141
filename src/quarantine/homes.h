// Determines which dispatcher may begin runs of a suspected job: its home, by rendezvous hashing over the
// counted members (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
// Transactions on Networking 6, 1998), and whether this dispatcher may act as the home.
//
// To prevent two homes at once, a new home waits kTakeover, so that runs begun by the previous home have
// arrived or their claim is known; and a dispatcher that was paused, which it detects by the gap between its
// own calls, doesn't act as a home for kPauseRecovery, in which it receives what it missed.
#pragma once

#include <vector>

#include "base/tier.h"
#include "quarantine/ticket.h"

namespace lichenlug {

class Homes {
 public:
  static constexpr Time kTakeover = 2 * kSecond;
  static constexpr Time kPauseDetected = kSecond, kPauseRecovery = 3 * kSecond;
  static constexpr Time kCallPeriod = 250 * kMillisecond;  // call period while any job is at stake

  // `at_stake`: there are jobs that run one at a time, so calls are expected each kCallPeriod.
  void RecordCall(bool at_stake, Time now);
  // Returns true if the set of counted members has changed.
  bool SetView(const TierView& view, Time now);

  int HomeOf(const Fingerprint& job) const;
  void SetHome(const Fingerprint& job, Ticket* ticket, Time now) const;  // call after each change of the view
  bool MayAct(const Ticket& ticket, Time now) const;

  int own() const { return own_; }
  int members() const { return static_cast<int>(counted_.size()); }
  const std::vector<int>& counted() const { return counted_; }

 private:
  int own_ = 0;
  std::vector<int> counted_;
  Time changed_ = 0, last_call_ = 0, recovered_at_ = 0;
};

}  // namespace lichenlug
