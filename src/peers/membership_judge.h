// Suspicion, confirmation of failures, refutation by witnesses, and the resulting status in the local view.
//
// A member that is itself partitioned can't declare others dead: a failure is confirmed only when observers
// of two zones suspect the member, it had time to refute, and no member receives its datagrams. A witness,
// which receives datagrams of a suspected member, refutes on its behalf.
#pragma once

#include <array>
#include <vector>

#include "peers/membership_here.h"
#include "peers/membership_probe.h"

namespace lichenlug::membership {

class Judge {
 public:
  // Suspicion timeout: from the first suspicion, with observers of two zones; shorter the more observers
  // agree. A pause of 2 s ends before it. With 0.7 s to the first suspicion (p99 at 300 members) and 0.2 s of
  // dissemination, all members know of a failure within 3 s.
  static constexpr Time kMaxObjection = 2400 * kMillisecond, kMinObjection = 1850 * kMillisecond;
  static constexpr Time kRefusedObjection = 300 * kMillisecond;  // if its address refuses datagrams
  static constexpr Time kWitness = 400 * kMillisecond;           // the member itself may refute first
  static constexpr Time kLook = 400 * kMillisecond;  // all members probe a suspected one within it
  static constexpr Time kCutTimeout = 3 * kSecond;   // for an observer that doesn't hear it while others do
  static constexpr Time kIsolated = 1500 * kMillisecond;  // without any acknowledged ping
  static constexpr Time kForget = 60 * kSecond;           // until one flap is forgiven
  static constexpr int kConfirmers = 3;                   // per zone, which probe a suspected member at once

  Judge(Here* here, Prober* prober) : here_(here), prober_(prober), shown_(here->tier()) {}

  void Put(int member, const Fact& told, bool news);  // merges a received fact
  void ProbedInVain(int member);
  void Refused(int member);
  void Step();  // confirms failures, refutes as a witness
  void Woke();  // after a pause
  bool Urgent() { return std::exchange(urgent_, false); }

  // Updates the view with the local status of each member. True: it has changed.
  bool Show(TierView* view);
  bool Isolated() const;

 private:
  struct Shown {
    MemberStatus status = MemberStatus::kUnknown;
    std::uint64_t life = 0;
    int comebacks = 0;  // recoveries, less one a minute
    Time comeback_at = 0, held_until = 0;
  };

  void Accuse(int member, Weight weight);
  void CountObservers();
  bool Agreed(int member, Weight least) const;
  Time ObjectionTime(int member) const;
  bool Confirms(int member) const;
  bool Doubts() const;
  MemberStatus Of(int member) const;
  MemberStatus Held(int member, MemberStatus status);

  Here* here_;
  Prober* prober_;
  std::vector<Shown> shown_;
  std::array<int, 256> observers_{};  // by zone, as of the last step
  bool urgent_ = false;
};

}  // namespace lichenlug::membership
