// Suspicion, confirmation of failures, refutation by witnesses, and the resulting status in the local view.
//
// A member that is itself partitioned can't declare others dead: a failure is confirmed only when observers
// of two zones suspect the member, it had time to refute, and no member receives its datagrams. A witness,
// which receives datagrams of a suspected member, refutes on its behalf.
#pragma once

#include <array>
#include <vector>

#include "peers/membership_local_state.h"
#include "peers/membership_probe.h"

namespace lichenlug::membership {

class SuspicionTracker {
 public:
  // Suspicion timeout: from the first suspicion, with observers of two zones; shorter the more observers
  // agree. A pause of 2 s ends before it. With 0.7 s to the first suspicion (p99 at 300 members) and 0.2 s of
  // dissemination, all members know of a failure within 3 s.
  static constexpr Time kMaxSuspicionTimeout = 2400 * kMillisecond,
                        kMinSuspicionTimeout = 1850 * kMillisecond;
  static constexpr Time kRefusedSuspicionTimeout = 300 * kMillisecond;  // if its address refuses datagrams
  static constexpr Time kWitnessDelay = 400 * kMillisecond;             // the member itself may refute first
  static constexpr Time kMaxCheckDelay = 400 * kMillisecond;  // all members probe a suspected one within it
  static constexpr Time kCutOffTimeout =
      3 * kSecond;  // for an observer that is cut off from it while others aren't
  static constexpr Time kIsolationTimeout = 1500 * kMillisecond;  // without any acknowledged ping
  static constexpr Time kFlapMemory = 60 * kSecond;               // until one flap is forgiven
  static constexpr int kConfirmersPerZone = 3;  // per zone, which probe a suspected member at once

  SuspicionTracker(LocalState* local, Prober* prober)
      : local_(local), prober_(prober), shown_(local->tier()) {}

  void HandleFact(int member, const Fact& update, bool disseminate);  // merges a received fact
  void ProbeFailed(int member);
  void Refused(int member);
  void Step();     // confirms failures, refutes as a witness
  void Resumed();  // after a pause
  bool TakeUrgent() { return std::exchange(urgent_, false); }

  // Updates the view with the local status of each member. True: it has changed.
  bool UpdateView(TierView* view);
  bool IsIsolated() const;

 private:
  struct ShownStatus {
    MemberStatus status = MemberStatus::kUnknown;
    std::uint64_t life = 0;
    int recoveries = 0;  // recoveries, less one a minute
    Time recovered_at = 0, damped_until = 0;
  };

  void Suspect(int member, Weight weight);
  void CountObservers();
  bool HasAgreement(int member, Weight least) const;
  Time SuspicionTimeout(int member) const;
  bool IsConfirmer(int member) const;
  bool DoubtsOwnHealth() const;
  MemberStatus StatusOf(int member) const;
  MemberStatus DampFlapping(int member, MemberStatus status);

  LocalState* local_;
  Prober* prober_;
  std::vector<ShownStatus> shown_;
  std::array<int, 256> observers_{};  // by zone, as of the last step
  bool urgent_ = false;
};

}  // namespace lichenlug::membership
