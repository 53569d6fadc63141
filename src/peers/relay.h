// One dispatcher of a zone adds up what all of a large tier hold at the zone's runners, and tells the sums.
// Without I/O and clock: times are arguments.
//
// Guards against news whose price grows with the square of the tier: told by each to all, one job costs two
// datagrams to every dispatcher of the zone. Here it costs two to one of them, and the sums go out together,
// so that what a dispatcher hears depends on how many runners changed and no longer on how many dispatchers
// there are.
//
// A word (version 2) goes from a member to its relay: all that the member holds in that zone, in entries, and
// the failures it has met since its last word. A word without entries: nothing. A digest (version 3) goes
// from the relay to each dispatcher of its zone: the runners whose sums have changed, some whose sums have
// not, and failures that two have met; the receiver's own part is left out. Both are states: what is lost,
// comes twice or comes late is made good by the next one.
//
// Members (version 0) go from a relay that follows a better one to that one: the numbers of those that tell
// it, in two bytes each, so that one that came back from behind a cut hears whom it serves.
//
// No vote is held. All rank the zone's dispatchers alike (by the hash of their numbers). A member's relay is
// the best-ranked one that it hears digests of; hearing none, the best-ranked one that has not been tried in
// vain. Each member has one relay at a time and tells the old one that it left, so that with two relays at
// work the sums of both add up to the whole. What a silent member said is let go after kWordFade, what a
// silent relay said after kDigestFade: cut off from all, a dispatcher is left with its own reports.
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
  static constexpr Time kGather = 20 * kMillisecond;          // between digests: changes wait for company
  static constexpr Time kBeat = 200 * kMillisecond;           // a digest comes at least so often
  static constexpr Time kRepeat = 250 * kMillisecond;   // a word comes at least so often while slots are held
  static constexpr Time kSilent = 600 * kMillisecond;   // a relay not heard for so long is none
  static constexpr Time kAnswers = 300 * kMillisecond;  // a word to a new relay brings a digest within this
  static constexpr Time kTriedInVain = 5 * kSecond;     // and is not tried again for so long
  static constexpr Time kWordFade = 1500 * kMillisecond;      // six words
  static constexpr Time kDigestFade = 1500 * kMillisecond;    // of one entry, too
  static constexpr Time kWholeInterval = 500 * kMillisecond;  // each sum is told at least so often
  static constexpr Time kServes = 2 * kSecond;  // a relay goes on for so long after the last word

  struct Datagram {
    int peer;
    std::string bytes;
  };

  // `life` marks this life (0 to 7), `number` is this dispatcher's in a tier of so many, `zone` its own,
  // kNoZone where all are alike.
  Relay(int life, int number, int tier, int zone, Sums* sums);

  void Met(int peer, int zone);  // a greeting: it is there, and which zone's news it wants
  void Restarted(int peer);      // another life: what the last one said is void

  void Hold(const std::string& runner, double slots, Time now);
  void Failed(const std::string& runner, int cls, Time now);

  Time DueAt() const { return due_at_; }  // 0: nothing is to be told
  std::vector<Datagram> MakeDatagrams(Time now);

  // A word, a digest or the members of a peer. False: older than the last one, or it makes no sense.
  bool HandleMessage(int peer, std::string_view bytes, Time now);

  void Fade(Time now);

  int HomeOf(int zone) const;                         // the relay last chosen for this zone; kUnheard: none
  bool KnowsNobody() const;                           // of some zone that it has something to tell
  std::size_t left_out() const { return left_out_; }  // entries that did not fit in a word

 private:
  struct Said {
    int slots = 0;
    Time at = 0;
  };
  struct Stream {  // what comes from one peer in one version
    int number = -1;
    Time at = 0;
    std::map<ShortId, Said> told;
  };
  struct Peer {
    int zone = kUnheard;
    Stream word, digest;
    Time tried_in_vain = 0;
    Time answered = 0;  // one of another zone, whose words were heard
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
      ranked_;            // by zone; in the own one, with this dispatcher
  std::set<int> relays_;  // whose digests count
  // As a relay: what all members hold, this one among them while it is its own.
  std::map<ShortId, Sum> total_;
  std::vector<std::uint16_t> agreed_;
  Time served_at_, digest_at_ = 0, members_at_ = 0;
  int digest_number_ = 0;
  std::size_t left_out_ = 0;
};

}  // namespace lichenlug
