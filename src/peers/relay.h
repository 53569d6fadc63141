// In a large tier, one dispatcher of each zone (the relay) aggregates the slots that all dispatchers use at
// the zone's runners, and distributes the sums. No I/O and no clock: times are arguments.
//
// Broadcast traffic would grow with the square of the tier size: each job would cost two datagrams to every
// dispatcher of the zone. With a relay it costs two datagrams to the relay, and the sums are sent in batches,
// so that the traffic to a dispatcher depends on how many runners changed and not on the number of
// dispatchers.
//
// A member update (version 2) goes from a member to its relay: entries with all slots that the member uses in
// that zone, and the failures it has seen since its last update. Without entries, it uses none. A digest
// (version 3) goes from the relay to each dispatcher of its zone: the runners whose sums have changed, some
// whose sums haven't, and failures that two members have seen; the receiver's own part is left out. Both
// carry state: a datagram that is lost, duplicated or late is made good by the next one.
//
// A member list (version 0) goes from a relay to a better-ranked active relay: the numbers of the members
// that send updates to it, in two bytes each, so that a relay that returns from a partition learns whom it
// serves.
//
// There is no election. All members rank the zone's dispatchers alike (by the hash of their numbers). A
// member's relay is the best-ranked one whose digests it receives; if there is none, the best-ranked one that
// hasn't been tried in vain. Each member has one relay at a time and sends an empty update to the old one
// when it switches, so that with two active relays the sums of both add up to the total. The entries of a
// silent member expire after kWordFade, those of a silent relay after kDigestFade: a dispatcher that is
// partitioned from all others is left with its own load reports.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "peers/sums.h"

namespace lichenlug {

class Relay {
 public:
  static constexpr int kMembers = 0, kWord = 2, kDigest = 3;  // versions
  static constexpr std::size_t kMaxBytes = 256;               // of a datagram, by PROTOCOL
  static constexpr Time kGather = 20 * kMillisecond;          // between digests; batches changes
  static constexpr Time kBeat = 200 * kMillisecond;           // heartbeat: the maximum time between digests
  static constexpr Time kRepeat =
      250 * kMillisecond;  // maximum time between member updates while slots are in use
  static constexpr Time kSilent = 600 * kMillisecond;       // a relay without digests for so long is inactive
  static constexpr Time kAnswers = 300 * kMillisecond;      // a new relay must send a digest within this,
  static constexpr Time kTriedInVain = 5 * kSecond;         // else it isn't tried again for so long
  static constexpr Time kWordFade = 1500 * kMillisecond;    // six member updates
  static constexpr Time kDigestFade = 1500 * kMillisecond;  // also of a single entry
  static constexpr Time kWholeInterval = 500 * kMillisecond;  // maximum time between repeats of each sum
  static constexpr Time kServes = 2 * kSecond;  // a relay stays active for so long after the last update

  struct Datagram {
    int peer;
    std::string bytes;
  };

  // `life`: the life tag of this process (0 to 7). `number`: this dispatcher in a tier of `tier` members.
  // `zone`: its zone; kNoZone: all zones.
  Relay(int life, int number, int tier, int zone, Sums* sums);

  void Met(int peer, int zone);  // on a greeting, with the zone it wants updates of
  void Restarted(int peer);      // discards what its previous life sent

  void Hold(const std::string& runner, double slots, Time now);
  void Failed(const std::string& runner, int cls, Time now);

  Time DueAt() const { return due_at_; }  // 0: nothing is pending
  std::vector<Datagram> MakeDatagrams(Time now);

  // Handles a member update, digest or member list. False: malformed, or older than the last one.
  bool HandleMessage(int peer, std::string_view bytes, Time now);

  void Fade(Time now);

  int HomeOf(int zone) const;                         // the relay last selected for this zone; kUnheard: none
  bool KnowsNobody() const;                           // in some zone that it has updates for
  std::size_t left_out() const { return left_out_; }  // entries that didn't fit in an update

 private:
  struct Said {
    int slots = 0;
    Time at = 0;
  };
  struct Stream {  // datagrams of one version from one peer
    int number = -1;
    Time at = 0;
    std::map<ShortId, Said> told;
  };
  struct Peer {
    int zone = kUnheard;
    Stream word, digest;
    Time tried_in_vain = 0;
    Time answered = 0;  // last acknowledgement to a member of another zone
  };
  struct Group {  // the runners of one zone
    std::map<ShortId, double> held;
    std::vector<std::uint16_t> failed;
    bool untold = false;
    int home = kUnheard, number = 0;
    Time chosen = 0, said = 0;
  };
  struct Sum {
    int slots = 0;
    bool changed = false;
    Time told = 0, empty_since = 0;
  };

  void Choose(int zone, Group* group, Time now);
  bool Serves(Time now) const { return now - served_at_ < kServes; }
  void Word(int peer, Stream* stream, std::string_view entries, Time now);
  void Digest(Stream* stream, std::string_view entries, Time now);
  void DropSilent(Time now);
  void Change(ShortId runner, int more, Time now);
  void TellWord(int zone, Group* group, Time now, std::vector<Datagram>* all);
  void TellDigests(Time now, std::vector<Datagram>* all);
  int Better(Time now) const;
  void TellDigest(const std::string& base, std::size_t first, const std::vector<ShortId>& runners, Time now,
                  std::vector<Datagram>* all);
  void TellMembers(Time now, std::vector<Datagram>* all);
  void Members(std::string_view numbers);
  void Due(Time at);
  void Drop(Stream* stream);
  static std::uint64_t Rank(int peer);

  const int life_, number_, tier_, zone_;
  Sums* sums_;
  Time due_at_ = 0;
  std::map<int, Group> groups_;  // by zone
  std::map<int, Peer> peers_;    // by number
  std::map<int, std::vector<std::pair<std::uint64_t, int>>>
      ranked_;            // by zone; the own one includes this dispatcher
  std::set<int> relays_;  // active relays, whose digests count
  // As a relay: the slots that all members use, including this one while it is its own relay.
  std::map<ShortId, Sum> total_;
  std::vector<std::uint16_t> agreed_;
  Time served_at_, digest_at_ = 0, members_at_ = 0;
  int digest_number_ = 0;
  std::size_t left_out_ = 0;
};

}  // namespace lichenlug
