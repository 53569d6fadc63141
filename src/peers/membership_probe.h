// Who is asked whether it is there, how, and how long an answer may take.
//
// Guards against taking a lost datagram for a death: after the first ping in vain come others, directly and
// through members of different zones, the more of them the more this one has reason to doubt itself (after
// A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
// 2018). A member that is heard anyway is not asked.
#pragma once

#include <map>
#include <vector>

#include "peers/membership_here.h"

namespace lichenlug::membership {

class Prober {
 public:
  static constexpr Time kEvery = 100 * kMillisecond;        // a series of probes is begun
  static constexpr Time kFresh = 250 * kMillisecond;        // heard within it: need not be asked,
  static constexpr Time kFreshAnswer = 500 * kMillisecond;  // if it has answered within this
  static constexpr Time kMinDirect = 60 * kMillisecond, kMaxDirect = 100 * kMillisecond;  // for an answer
  static constexpr Time kIndirect = 120 * kMillisecond;  // links take up to 22 ms, and it is four of them
  static constexpr int kRelays = 3, kRounds = 2, kMaxRounds = 8;
  static constexpr std::size_t kMaxSeries = 16;      // at one time
  static constexpr int kCutAfter = 3, kCutEnds = 3;  // series in a row

  explicit Prober(Here* here)
      : here_(here), slice_(static_cast<int>(here->Below(here->table.slices() - 1))) {}

  void Begin(int member);
  void Answered(int member, std::uint16_t nonce, bool direct);
  void Forget() { series_.clear(); }  // what was asked before a sleep

  // Those that were probed in vain.
  std::vector<int> Step();
  Time DueAt() const;
  // One ping, outside any series. False: no bytes are left for it.
  bool Ping(int member, double reserve);
  // One ping with what this one holds of it and of itself: to one that does not count.
  void Ask(int member);

  // The part of the members that do not answer this one.
  double ShareInVain() const;
  int Rounds() const;

 private:
  struct Series {
    std::uint16_t nonce = 0;
    int round = 0;
    Time begun = 0, due = 0;
    bool first_answered = false;
  };

  void Next();
  Slice SomeSlice();
  bool Again(int member, Series* series);
  void Ended(int member, const Series& series, bool alive);
  std::vector<int> Relays(int member);
  Time DirectTime() const;

  Here* here_;
  std::vector<int> ring_;
  std::size_t at_ = 0;
  std::map<int, Series> series_;
  int slice_ = 0;  // compared next
  Time next_at_ = 0;
  double lost_ = 0;                 // part of first pings in vain to members that are alive
  double way_ = 40 * kMillisecond;  // there and back
};

}  // namespace lichenlug::membership
