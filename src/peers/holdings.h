// What the dispatchers of a tier hold at the runners: own holdings told to the others, theirs added up; and
// which runners fail jobs of which class. Without I/O and clock: times are arguments.
//
// Guards against crowding: a hundred dispatchers that read one old report choose the same free runner, and
// each alone sends too few jobs to notice. What all of them have out at a runner is known to them together at
// once.
//
// A datagram is one head byte (two bits version, three life, three number) and either the sender's zone in
// one byte (a greeting) or up to 85 entries of two bytes: twelve bits of the xxHash of the runner's id and
// four of what is said of it. 0 to 11: the sender now holds so many slots there (11: or more); 12 to 15: it
// failed a job of class 0 to 3. Holdings are absolute, so what is lost is made good by the next word on the
// same runner, and what comes twice changes nothing. What a peer said fades when it says no more of it;
// another life of the sender takes back all that the last one said. Runners that share their twelve bits all
// count as holding the sum.
//
// Others' word is bounded: a peer adds at most 11 slots to a runner, and a failure counts only when two peers
// have told of one within kAgree.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace lichenlug {

class HoldingsHeard {
 public:
  virtual ~HoldingsHeard() = default;
  virtual void Held(const std::string& runner, int slots) = 0;  // by all others together
  virtual void Failing(const std::string& runner, int cls) = 0;
};

class Holdings {
 public:
  static constexpr std::size_t kMostBytes = 256;          // of a datagram, by PROTOCOL
  static constexpr Time kGatherEnds = 20 * kMillisecond;  // fewer slots can wait for company, more cannot
  static constexpr Time kFade = 6 * kSecond;              // a job's longest stay, with a little to spare
  static constexpr Time kAgree = 4 * kSecond;
  static constexpr Time kGreetEvery = 4 * kSecond;

  struct Datagram {
    int zone;  // for the peers of this zone; kNoZone: for all
    std::string bytes;
  };
  static constexpr int kNoZone = 255, kUnheard = -1;

  // `seed` marks this life. `zone`: which runners' news this dispatcher wants, kNoZone: the same for all.
  // `classes`: how many there are; a failure in another is dropped and counted.
  Holdings(std::uint64_t seed, int zone, int classes, HoldingsHeard* heard);

  // A runner of the list and its zone: what is told of others is passed over until they are named.
  // A zone not known (below 0) counts as the own one. What was told of it before is heard now.
  void Name(const std::string& runner, int zone);
  void Forget(const std::string& runner);  // it has left the list
  void ForgetAll() { names_.clear(); }     // a whole list comes

  // This dispatcher holds so many slots more (or fewer) at a runner; the runner failed a job of this class.
  void Hold(const std::string& runner, double slots, Time now);
  void Failed(const std::string& runner, int cls, Time now);

  // When the next datagram is due; 0: nothing is to be told.
  Time DueAt() const { return due_at_; }

  // What is to be told now; empty when nothing is.
  std::vector<Datagram> Tell(Time now);
  std::string Greeting() const;

  // A datagram of a peer. False: it is malformed, of a version not known, or older than the last one. A peer
  // in a life not met before knows nobody: `greet` says that it is to be greeted.
  bool Hear(int peer, std::string_view bytes, Time now, bool* greet);

  int ZoneOf(int peer) const;  // kUnheard: it has not greeted yet

  // Lets what has not been said again for kFade go. Called now and then.
  void Fade(Time now);

  std::size_t dropped() const { return dropped_; }

 private:
  struct Told {
    int slots = 0;
    Time at = 0;
  };
  struct Peer {
    int life = -1, number = -1, zone = kUnheard;
    Time heard = 0;
    std::map<std::uint16_t, Told> told;
  };
  struct Stream {  // what is to be told to the peers of one zone
    int number = 0;
    std::map<std::uint16_t, bool> untold;
    std::vector<std::uint16_t> failed;  // whole entries
  };

  static std::uint16_t Short(std::string_view runner);
  Stream& StreamFor(const std::string& runner);
  void Due(Time at);
  void Entry(Peer& peer, int number, std::uint16_t entry, Time now);
  void Add(std::uint16_t runner, int slots);

  const int life_, zone_, classes_;
  HoldingsHeard* heard_;
  Time due_at_ = 0;
  std::map<std::uint16_t, double> held_;                       // own
  std::map<int, Stream> streams_;                              // by zone
  std::unordered_map<int, Peer> peers_;                        // by number
  std::map<std::uint16_t, int> others_;                        // the sum of what they told
  std::map<std::uint16_t, std::map<std::string, int>> names_;  // and zones
  std::map<std::uint16_t, std::pair<int, Time>> accused_;      // by whole entry: the last peer to tell, when
  std::size_t dropped_ = 0;
};

}  // namespace lichenlug
