// Divides the store's limit over the tier so that the sum stays within it under any network partition.
//
// Each of n dispatchers owns an n-th of the limit permanently. It lends what it doesn't use, keeping at least
// a quarter: the borrower asks, the lender grants, and the lease expires by itself. The borrower counts the
// lease from its request, the lender from its grant and a sixteenth longer, so clocks need not agree, only
// run at a similar rate. The limit holds without any communication: a dispatcher that receives nothing has
// its own share, less what it has lent (escrow: Barbara and Garcia-Molina 1992; leases: Gray and Cheriton
// 1989).
//
// Faults tolerated:
// - a lender that crashes and forgets its leases or the plans of its jobs: after a restart it uses nothing
//   until kLease and a sixteenth have passed;
// - requests and grants that are lost, duplicated, delayed or reordered: a request is answered once, and a
//   grant names the request and the life that it answers, and counts from the time of that request;
// - a borrower that is suspended: its lease has expired by its own clock when it resumes.
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
  static constexpr Time kLease = 20 * kSecond, kMargin = kLease / 16, kRequestPeriod = kSecond;
  static constexpr int kMaxConcurrentRequests = 4;
  // Minimum ratio of the borrower's gain to the lender's for a new loan.
  static constexpr double kMinGainRatio = 1.25;

  struct Place {
    int number = 0, tier = 1;
  };

  Lending(const Place& place, Amount bound, std::uint64_t life, Time now);

  // The total that may be used now, and at most until LeaseEnd().
  Amount Allowed(Time now) const;
  // The earliest end of the leases included in Allowed; at most now + kLease.
  Time LeaseEnd(Time now) const;
  // The part that is never lent: usable without communication and without expiry.
  Amount reserved(Time now) const { return now < quiet_until_ ? 0 : own_ / 4; }

  // Sets the current use, the additional demand, and the worth of the next unit (comparable between
  // dispatchers).
  void SetDemand(Amount used, Amount additional, double gain, Time now);
  // The amount requested by a dispatcher with a higher gain; to be released before LeaseEnd.
  Amount Yield(Time now) const { return now < yield_until_ ? yield_ : 0; }

  std::vector<PeerProtocol::Datagram> MakeRequests(const TierView& tier, Time now);
  // Appends the answer, if there is one. Returns false if the message is malformed.
  bool HandleMessage(int peer, std::string_view body, Time now, std::vector<PeerProtocol::Datagram>* answers);

  static constexpr char kRequestMessage = 2, kGrantMessage = 3;

 private:
  struct Lent {
    Amount amount;
    Time end;
  };
  struct Borrower {
    std::uint64_t life = 0;
    std::uint32_t request = 0;
    std::vector<Lent> leases;  // only the last is in use, but the borrower may not have received it yet
  };
  struct Lender {
    std::uint32_t request = 0;  // the last request
    Time requested_at = 0;
    Amount amount = 0;
    Time end = 0;
  };

  bool HandleRequest(int peer, std::string_view body, Time now, std::vector<PeerProtocol::Datagram>* answers);
  bool HandleGrant(int peer, std::string_view body, Time now);
  Amount LentOut(Time now) const;

  const int number_, tier_;
  const Amount own_;
  const std::uint64_t life_;
  const Time quiet_until_;
  Amount used_ = 0, additional_ = 0, yield_ = 0;
  Time yield_until_ = 0, next_request_ = 0;
  double gain_ = 0;
  std::uint32_t requests_ = 0;
  int next_peer_ = 0;
  std::map<int, Borrower> borrowers_;
  std::map<int, Lender> lenders_;
};

}  // namespace lichenlug
