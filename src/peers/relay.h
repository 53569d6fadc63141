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
// silent member expire after kUpdateTtl, those of a silent relay after kDigestTtl: a dispatcher that is
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
#include "peers/slot_totals.h"

namespace lichenlug {

class Relay {
 public:
  static constexpr int kMemberList = 0, kMemberUpdate = 2, kDigest = 3;  // versions
  static constexpr std::size_t kMaxBytes = 256;                          // of a datagram, by PROTOCOL
  static constexpr Time kDigestBatchDelay = 20 * kMillisecond;           // between digests; batches changes
  static constexpr Time kDigestHeartbeat = 200 * kMillisecond;           // maximum time between digests
  // Maximum time between member updates while slots are in use.
  static constexpr Time kUpdateInterval = 250 * kMillisecond;
  // A relay without digests for so long is inactive.
  static constexpr Time kSilenceTimeout = 600 * kMillisecond;
  // A newly selected relay must send a digest within kNewRelayTimeout, else it isn't tried again for
  // kRelayRetryDelay.
  static constexpr Time kNewRelayTimeout = 300 * kMillisecond;
  static constexpr Time kRelayRetryDelay = 5 * kSecond;
  static constexpr Time kUpdateTtl = 1500 * kMillisecond;          // six member updates
  static constexpr Time kDigestTtl = 1500 * kMillisecond;          // also of a single entry
  static constexpr Time kFullDigestInterval = 500 * kMillisecond;  // maximum time between repeats of each sum
  static constexpr Time kActiveTime = 2 * kSecond;  // a relay stays active for so long after the last update

  struct Datagram {
    int peer;
    std::string bytes;
  };

  // `life`: the life tag of this process (0 to 7). `number`: this dispatcher in a tier of `tier` members.
  // `zone`: its zone; kNoZone: all zones.
  Relay(int life, int number, int tier, int zone, SlotTotals* totals);

  void AddPeer(int peer, int zone);  // on a greeting, with the zone it wants updates of
  void ResetPeer(int peer);          // discards what its previous life sent

  void Hold(const std::string& runner, double slots, Time now);
  void Failed(const std::string& runner, int cls, Time now);

  Time DueAt() const { return due_at_; }  // 0: nothing is pending
  std::vector<Datagram> MakeDatagrams(Time now);

  // Handles a member update, digest or member list. False: malformed, or older than the last one.
  bool HandleMessage(int peer, std::string_view bytes, Time now);

  void ExpireEntries(Time now);

  int RelayOf(int zone) const;  // the relay last selected for this zone; kUnset: none
  bool LacksRelay() const;      // in some zone that it has updates for
  std::size_t dropped_entries() const { return dropped_entries_; }  // entries that didn't fit in an update

 private:
  struct SlotEntry {
    int slots = 0;
    Time at = 0;
  };
  struct Stream {  // datagrams of one version from one peer
    int sequence = -1;
    Time at = 0;
    std::map<ShortId, SlotEntry> entries;
  };
  struct Peer {
    int zone = kUnset;
    Stream update, digest;
    Time failed_at = 0;
    Time acknowledged_at = 0;  // last acknowledgement to a member of another zone
  };
  struct ZoneGroup {  // the runners of one zone
    std::map<ShortId, double> in_use;
    std::vector<std::uint16_t> failures;
    bool pending = false;
    int relay = kUnset, sequence = 0;
    Time selected_at = 0, sent_at = 0;
  };
  struct RunnerTotal {
    int slots = 0;
    bool changed = false;
    Time sent_at = 0, empty_since = 0;
  };

  void SelectRelay(int zone, ZoneGroup* group, Time now);
  bool IsActive(Time now) const { return now - last_update_at_ < kActiveTime; }
  void HandleUpdate(int peer, Stream* stream, std::string_view entries, Time now);
  void HandleDigest(Stream* stream, std::string_view entries, Time now);
  void DropSilentRelays(Time now);
  void AdjustTotal(ShortId runner, int delta, Time now);
  void SendUpdate(int zone, ZoneGroup* group, Time now, std::vector<Datagram>* datagrams);
  void SendDigests(Time now, std::vector<Datagram>* datagrams);
  int BetterActiveRelay(Time now) const;
  void SendDigest(const std::string& base, std::size_t first, const std::vector<ShortId>& runners, Time now,
                  std::vector<Datagram>* datagrams);
  void SendMemberList(Time now, std::vector<Datagram>* datagrams);
  void HandleMemberList(std::string_view numbers);
  void ScheduleAt(Time at);
  void DropEntries(Stream* stream);
  static std::uint64_t Rank(int peer);

  const int life_, number_, tier_, zone_;
  SlotTotals* totals_;
  Time due_at_ = 0;
  std::map<int, ZoneGroup> groups_;  // by zone
  std::map<int, Peer> peers_;        // by number
  // By zone; the own one includes this dispatcher.
  std::map<int, std::vector<std::pair<std::uint64_t, int>>> ranked_;
  std::set<int> active_relays_;  // their digests count
  // As a relay: the slots that all members use, including this one while it is its own relay.
  std::map<ShortId, RunnerTotal> zone_totals_;
  std::vector<std::uint16_t> confirmed_failures_;
  Time last_update_at_, digest_at_ = 0, members_at_ = 0;
  int digest_sequence_ = 0;
  std::size_t dropped_entries_ = 0;
};

}  // namespace lichenlug
