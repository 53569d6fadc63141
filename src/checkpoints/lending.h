// The store's bound, shared out over the tier so that it holds under any cut.
//
// Each of n dispatchers owns an n-th of the bound for good. What it does not use, down to a quarter, it
// lends: the borrower asks, the lender grants, and the lease ends by itself. The borrower counts from when it
// asked, the lender from when it granted and a sixteenth longer, so no clocks need agree, only run alike.
// Nobody has to hear anything for the sum to hold: whoever hears nothing has its own share, less what it lent
// (escrow; Barbara and Garcia-Molina 1992; leases: Gray and Cheriton 1989).
//
// Guards against
// - a lender that dies and forgets what it lent, or what its jobs were told: a new life uses nothing until
//   kLease and a sixteenth have passed;
// - asks and grants that are lost, doubled, late or overtaken: an ask is answered once, a grant names the ask
// and
//   the life that it answers, and counts from that ask's time;
// - a borrower that sleeps: its lease has ended when it wakes, by its own clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/tier.h"

namespace lichenlug {

using Amount = std::int64_t;  // millionths of a save (or byte) a second

class Lending {
 public:
  static constexpr Time kLease = 20 * kSecond, kMargin = kLease / 16, kAsk = kSecond;
  static constexpr int kAsksAtOnce = 4;
  static constexpr double kWorthMore = 1.25;  // the asker's gain by ours

  struct Place {
    int number = 0, tier = 1;
  };

  Lending(const Place& place, Amount bound, std::uint64_t life, Time now);

  // What may be used in all, now; none of it longer than until End().
  Amount Allowed(Time now) const;
  // The end of the first lease that Allowed counts, at most now + kLease.
  Time End(Time now) const;
  // What may be used without hearing anything, for good: never lent.
  Amount safe(Time now) const { return now < quiet_until_ ? 0 : own_ / 4; }

  // What is used, what more would be, and what the next unit is worth (comparable between dispatchers).
  void Use(Amount used, Amount more, double gain, Time now);
  // A dispatcher to which a unit is worth more has asked for this: to be freed before End.
  Amount Yield(Time now) const { return now < yield_until_ ? yield_ : 0; }

  std::vector<PeerProtocol::Datagram> Asks(const TierView& tier, Time now);
  // The answer, if there is one. False: malformed.
  bool HandleMessage(int peer, std::string_view body, Time now, std::vector<PeerProtocol::Datagram>* answers);

  static constexpr char kAskWord = 2, kGrantWord = 3;

 private:
  struct Lent {
    Amount amount;
    Time end;
  };
  struct Borrower {
    std::uint64_t life = 0;
    std::uint32_t ask = 0;
    std::vector<Lent> leases;  // of one borrower only the last is in use, but it may not know that yet
  };
  struct Lender {
    std::uint32_t ask = 0;  // the last one
    Time asked = 0;
    Amount amount = 0;
    Time end = 0;
  };

  bool HearAsk(int peer, std::string_view body, Time now, std::vector<PeerProtocol::Datagram>* answers);
  bool HearGrant(int peer, std::string_view body, Time now);
  Amount LentOut(Time now) const;

  const int number_, tier_;
  const Amount own_;
  const std::uint64_t life_;
  const Time quiet_until_;
  Amount used_ = 0, more_ = 0, yield_ = 0;
  Time yield_until_ = 0, next_ask_ = 0;
  double gain_ = 0;
  std::uint32_t asks_ = 0;
  int turn_ = 0;
  std::map<int, Borrower> borrowers_;
  std::map<int, Lender> lenders_;
};

}  // namespace lichenlug
