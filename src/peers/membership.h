// Who is there in a tier of dispatchers: failure detection that bears pauses, lost messages and one-sided
// cuts. Without I/O and clock: times are arguments, random numbers come from a seed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/tier.h"

namespace lichenlug {

class Membership : public PeerProtocol {
 public:
  struct Place {
    int number = 0;  // of this dispatcher
    int tier = 1;    // how many the configuration names
    int zone = -1;   // below 0: all zones alike
  };

  // `life`: the start of this process in Unix microseconds; a later life of the same number is greater.
  Membership(const Place& place, std::uint64_t life, std::uint64_t seed, Time now);
  ~Membership() override;

  // A datagram of another kind came from this peer.
  void Evidence(int peer, Time now);

  // The peer's address refused a datagram (ICMP: nobody listens at that port). Such a death is sure and
  // quick.
  void Refused(int peer, Time now);

  // This dispatcher ends: farewells are due at once.
  void Leave(Time now);

  // The loop of this process: to be called with each turn or at least each 100 ms; a gap tells of a pause.
  void Beat(Time now);

  Time DueAt() const override;
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;

  // As of the last call that was given a time.
  const TierView& View() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lichenlug
