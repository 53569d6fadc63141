// Membership and failure detection of a tier of dispatchers. Tolerates process pauses, lost messages and
// one-way partitions. No I/O and no clock: times are arguments, random numbers come from a seed.
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
  struct Identity {
    int number = 0;  // of this dispatcher
    int tier = 1;    // number of dispatchers in the configuration
    int zone = -1;   // below 0: no zones
  };

  // `life`: the start of this process in Unix microseconds; it grows with each restart of the same number.
  Membership(const Identity& identity, std::uint64_t life, std::uint64_t seed, Time now);
  ~Membership() override;

  // A datagram of another protocol was received from this peer, which shows that it is alive.
  void RecordContact(int peer, Time now);

  // The peer's address refused a datagram (ICMP port unreachable). Such a failure is certain and is confirmed
  // sooner than silence.
  void Refused(int peer, Time now);

  // This dispatcher shuts down: leave messages are due at once.
  void Leave(Time now);

  // To be called in each iteration of the event loop, at least every 100 ms; a longer gap reveals that the
  // process was paused.
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
