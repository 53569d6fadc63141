// Who may begin runs of a suspected job: its home, by rendezvous hashing over the members that count (Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6,
// 1998), and whether this dispatcher may take itself for it.
//
// Guards against two homes at once. One that has just become home waits kTake, so that what the one before
// began has arrived or its claim is known; one that was paused, as the gap between its own calls shows, is no
// home for kSettle, in which it hears what it has missed.
#pragma once

#include <vector>

#include "base/tier.h"
#include "quarantine/ticket.h"

namespace lichenlug {

class Homes {
 public:
  static constexpr Time kTake = 2 * kSecond;
  static constexpr Time kAsleep = kSecond, kSettle = 3 * kSecond;
  static constexpr Time kPulse = 250 * kMillisecond;  // how often to be called while anything is at stake

  // `at_stake`: there are jobs that run one at a time, so that calls are due each kPulse.
  void Notice(bool at_stake, Time now);
  // True: the set of those that count has changed.
  bool SetView(const TierView& view, Time now);

  int HomeOf(const Fingerprint& job) const;
  void Place(const Fingerprint& job, Ticket* ticket, Time now) const;  // after each change of the view
  bool MayAct(const Ticket& ticket, Time now) const;

  int own() const { return own_; }
  int members() const { return static_cast<int>(counted_.size()); }
  const std::vector<int>& counted() const { return counted_; }

 private:
  int own_ = 0;
  std::vector<int> counted_;
  Time changed_ = 0, called_ = 0, settled_ = 0;
};

}  // namespace lichenlug
