// When a member is accused, when it is given up for all, who speaks for it, and what that makes of it here.
//
// Guards against the verdict of one who is himself cut off: it takes observers of two zones, time for the
// accused to object, and nobody who hears it. A witness, who hears an accused one, objects in its stead.
#pragma once

#include <array>
#include <vector>

#include "peers/membership_here.h"
#include "peers/membership_probe.h"

namespace lichenlug::membership {

class Judge {
 public:
  // From the first accusation, silent observers of two zones; the more agree, the sooner. A pause of 2 s is
  // over before it; with 0.7 s (p99 at 300) until the first accusation and 0.2 s until all know, a death is
  // known to all within 3 s.
  static constexpr Time kMaxObjection = 2400 * kMillisecond, kMinObjection = 1850 * kMillisecond;
  static constexpr Time kRefusedObjection = 300 * kMillisecond;  // where its address itself refuses
  static constexpr Time kWitness = 400 * kMillisecond;           // it may first object for itself
  static constexpr Time kLook = 400 * kMillisecond;              // all look for themselves within it
  static constexpr Time kCutTimeout = 3 * kSecond;               // of one who does not hear it, but others do
  static constexpr Time kIsolated = 1500 * kMillisecond;         // no ping came back from anywhere
  static constexpr Time kForget = 60 * kSecond;                  // one of its flaps
  static constexpr int kConfirmers = 3;                          // of each zone, who probe it at once

  Judge(Here* here, Prober* prober) : here_(here), prober_(prober), shown_(here->tier()) {}

  void Put(int member, const Fact& told, bool news);  // what is known now
  void ProbedInVain(int member);
  void Refused(int member);
  void Step();  // verdicts, objections of witnesses
  void Woke();  // from a pause
  bool Urgent() { return std::exchange(urgent_, false); }

  // What it looks like here, brought into the view. True: it has changed.
  bool Show(TierView* view);
  bool Isolated() const;

 private:
  struct Shown {
    MemberStatus status = MemberStatus::kUnknown;
    std::uint64_t life = 0;
    int comebacks = 0;  // less one a minute
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
