// Direct and indirect probes of members, and their timeouts.
//
// A lost datagram must not count as a failure: after an unanswered ping, the member is probed again, directly
// and through members of different zones, with more rounds when this member has reason to doubt its own
// health (after A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection", 2018). A member whose datagrams arrive anyway isn't probed.
#pragma once

#include <map>
#include <vector>

#include "peers/membership_here.h"

namespace lichenlug::membership {

class Prober {
 public:
  static constexpr Time kEvery = 100 * kMillisecond;        // between starts of probes
  static constexpr Time kFresh = 250 * kMillisecond;        // heard within it: no probe is needed
  static constexpr Time kFreshAnswer = 500 * kMillisecond;  // if it also answered within this
  static constexpr Time kMinDirect = 60 * kMillisecond,
                        kMaxDirect = 100 * kMillisecond;  // timeout of a direct ping
  static constexpr Time kIndirect = 120 * kMillisecond;   // four hops of up to 22 ms each
  static constexpr int kRelays = 3, kRounds = 2, kMaxRounds = 8;
  static constexpr std::size_t kMaxSeries = 16;      // concurrent probes
  static constexpr int kCutAfter = 3, kCutEnds = 3;  // consecutive probes

  explicit Prober(Here* here)
      : here_(here), slice_(static_cast<int>(here->Below(here->table.slices() - 1))) {}

  void Begin(int member);
  void Answered(int member, std::uint16_t nonce, bool direct);
  void Forget() { series_.clear(); }  // drops the probes begun before a pause

  // Advances all probes; returns the members whose probe failed.
  std::vector<int> Step();
  Time DueAt() const;
  // Sends one ping outside any probe. False: the rate limit is reached.
  bool Ping(int member, double reserve);
  // Pings a member that is not a healthy one, with the facts of that member and of this one.
  void Ask(int member);

  // The share of members whose last probe failed.
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
  int slice_ = 0;  // the next slice to compare
  Time next_at_ = 0;
  double lost_ = 0;                 // share of unanswered first pings to live members
  double way_ = 40 * kMillisecond;  // smoothed round-trip time
};

}  // namespace lichenlug::membership
