// What the dispatchers of a tier hold at the runners: own holdings told to the others, theirs added up; and
// which runners fail jobs of which class. Without I/O and clock: times are arguments.
//
// Guards against crowding: a hundred dispatchers that read one old report choose the same free runner, and
// each alone sends too few jobs to notice. What all of them have out at a runner is known to them together at
// once.
//
// A small tier tells each change to all: a datagram (version 1) is one head byte (two bits version, three
// life, three number) and either the sender's zone in one byte (a greeting) or up to 127 entries (sums.h):
// the sender now holds so many slots there, or failed a job. A large tier (over kMaxDirect) tells one of its
// own (relay.h), and reads what older programs tell all. Holdings are absolute, so what is lost is made good
// by the next word on the same runner, and what comes twice changes nothing. What a peer said fades when it
// says no more of it; another life of the sender takes back all that the last one said.
//
// Others' word is bounded: a peer adds at most 11 slots to a runner, and a failure counts only when two peers
// have told of one within Sums::kAgree.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "peers/relay.h"
#include "peers/sums.h"

namespace lichenlug {

class Holdings {
 public:
  static constexpr std::size_t kMaxBytes = 256;           // of a datagram, by PROTOCOL
  static constexpr Time kGatherEnds = 20 * kMillisecond;  // fewer slots can wait for company, more cannot
  static constexpr Time kFade = 6 * kSecond;              // a job's longest stay, with a little to spare

  // A tier up to this size tells each change to all: to one receiver more than this, a relay's digests cost
  // less.
  static constexpr int kMaxDirect = 24;

  struct Datagram {
    int zone;  // for the peers of this zone; kNoZone: for all
    std::string bytes;
    int peer = kUnheard;  // for this one alone, whatever its zone
  };

  // A zone past the 254 that a byte can name counts as kNoZone, and its runners to each one's own zone.
  struct Place {         // of this dispatcher in its tier
    int number = 0;      // its own
    int tier = 1;        // how many there are
    int zone = kNoZone;  // which runners' news it wants; kNoZone: all zones alike
  };

  // `seed` marks this life. `classes`: how many there are; a failure in another is dropped and counted.
  Holdings(std::uint64_t seed, const Place& place, int classes, HoldingsHeard* heard);

  // A runner of the list and its zone: what is told of others is passed over until they are named.
  // A zone not known (below 0) counts as the own one. What was told of it before is heard now.
  void Name(const std::string& runner, int zone) { sums_.Name(runner, zone); }
  void Forget(const std::string& runner) { sums_.Forget(runner); }  // it has left the list
  void ForgetAll() { sums_.ForgetAll(); }                           // a whole list comes

  // This dispatcher holds so many slots more (or fewer) at a runner; the runner failed a job of this class.
  void Hold(const std::string& runner, double slots, Time now);
  void Failed(const std::string& runner, int cls, Time now);

  // When the next datagram is due; 0: nothing is to be told.
  Time DueAt() const { return relay_ ? relay_->DueAt() : due_at_; }

  // What is to be told now; empty when nothing is.
  std::vector<Datagram> MakeDatagrams(Time now);
  // To all: asks for an answer while this one is short of peers. To one that is to be greeted: asks while its
  // zone is not known.
  std::string Greeting() const;
  std::string Answer(int peer) const;

  // Greetings are said again, as they may be lost: in a large tier, where they are many, soon only by one
  // that is short of peers: it has not heard of half of them yet, or of nobody in a zone that it has news
  // for.
  Time GreetEvery() const { return !relay_ ? 4 * kSecond : Short() ? 2 * kSecond : 30 * kSecond; }

  // A datagram of a peer. False: it is malformed, of a version not known, or older than the last one. A peer
  // in a life not met before knows nobody: `greet` says that it is to be greeted.
  bool HandleMessage(int peer, std::string_view bytes, Time now, bool* greet);

  // The relay chosen for a zone; kUnheard: none, or the tier is small.
  int RelayOf(int zone) const { return relay_ ? relay_->HomeOf(zone) : kUnheard; }

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
    std::map<ShortId, Told> told;
  };
  struct Stream {  // what is to be told to the peers of one zone
    int number = 0;
    std::map<ShortId, bool> untold;
    std::vector<std::uint16_t> failed;  // whole entries
  };

  bool Short() const {
    return relay_ && (2 * peers_.size() < static_cast<std::size_t>(tier_) || relay_->KnowsNobody());
  }
  void Due(Time at);
  void Entry(Peer& peer, int number, std::uint16_t entry, Time now);

  const int life_, zone_, tier_;
  Sums sums_;
  std::optional<Relay> relay_;
  Time due_at_ = 0;
  std::map<ShortId, double> held_;       // own
  std::map<int, Stream> streams_;        // by zone
  std::unordered_map<int, Peer> peers_;  // by number
  std::size_t dropped_ = 0;
};

}  // namespace lichenlug
