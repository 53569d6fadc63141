// Shares the slots that each dispatcher of a tier uses at the runners: broadcasts this dispatcher's counts,
// adds up those of the peers, and reports which runners fail jobs of which class. No I/O and no clock: times
// are arguments.
//
// Prevents herding on one runner: a hundred dispatchers that read the same stale load report would choose the
// same free runner, and each alone sends too few jobs to notice. With shared counts, each dispatcher knows at
// once how many slots all of them together use at a runner.
//
// A small tier broadcasts each change: a datagram (version 1) is one header byte (two bits version, three
// bits life tag, three bits sequence number) and either the sender's zone in one byte (a greeting) or up to
// 127 entries (slot_totals.h): the number of slots that the sender now uses at a runner, or a job failure
// there. A large tier (over kMaxBroadcastTier) sends them to a relay (relay.h), and still reads the
// broadcasts of older programs. Counts are absolute: a lost datagram is made good by the next entry of the
// same runner, and a duplicate changes nothing. A peer's entry expires when it isn't refreshed; a restart of
// the sender (another life tag) discards all entries of its previous life.
//
// The influence of a peer is bounded: it adds at most 11 slots to a runner, and a failure counts only when
// two peers have reported one within SlotTotals::kAgreementWindow.
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
#include "peers/slot_totals.h"

namespace lichenlug {

class Holdings {
 public:
  static constexpr std::size_t kMaxBytes = 256;              // of a datagram, by PROTOCOL
  static constexpr Time kDecreaseDelay = 20 * kMillisecond;  // decreases are batched, increases are not
  static constexpr Time kEntryTtl = 6 * kSecond;  // the longest time a job occupies a slot, with a margin

  // Tiers up to this size broadcast each change; above it, a relay's digests need less traffic.
  static constexpr int kMaxBroadcastTier = 24;

  struct Datagram {
    int zone;  // for the peers of this zone; kNoZone: for all
    std::string bytes;
    int peer = kUnset;  // if set, for this peer only, whatever its zone
  };

  // A zone number over 254 doesn't fit in the byte and counts as kNoZone; runners of such a zone are counted
  // to the zone of each receiver.
  struct Identity {  // of this dispatcher in its tier
    int number = 0;
    int tier = 1;        // number of dispatchers
    int zone = kNoZone;  // the zone whose runners it wants updates for; kNoZone: all zones
  };

  // `seed` determines the life tag of this process. `classes`: number of job classes; a failure report of any
  // other class is dropped and counted.
  Holdings(std::uint64_t seed, const Identity& identity, int classes, HoldingsObserver* observer);

  // Registers a runner and its zone; the counts of unregistered runners aren't reported to the observer. An
  // unknown zone (below 0) counts as the zone of this dispatcher. A count received earlier is reported now.
  void Name(const std::string& runner, int zone) { totals_.RegisterRunner(runner, zone); }
  // The runner was removed from the runner list.
  void Forget(const std::string& runner) { totals_.RemoveRunner(runner); }
  // To be called before a complete runner list.
  void ForgetAll() { totals_.RemoveAllRunners(); }

  // Hold: this dispatcher uses `slots` more (or fewer, if negative) at a runner. Failed: the runner failed a
  // job of this class.
  void Hold(const std::string& runner, double slots, Time now);
  void Failed(const std::string& runner, int cls, Time now);

  // When the next datagram is due; 0: nothing is pending.
  Time DueAt() const { return relay_ ? relay_->DueAt() : due_at_; }

  // The datagrams due now; may be empty.
  std::vector<Datagram> MakeDatagrams(Time now);
  // Greeting, to all peers: requests answers while this dispatcher knows too few peers. Reply, to one peer:
  // requests an answer while the peer's zone is unknown.
  std::string Greeting() const;
  std::string GreetingReply(int peer) const;

  // Interval of repeated greetings, which may get lost. In a large tier, where they cost the most, the
  // interval is short only while this dispatcher knows too few peers: fewer than half of the tier, or none in
  // a zone that it has updates for.
  Time GreetingInterval() const {
    return !relay_ ? 4 * kSecond : KnowsTooFewPeers() ? 2 * kSecond : 30 * kSecond;
  }

  // Handles a datagram of a peer. False: malformed, of an unknown version, or older than the last one.
  // `greet` is set when the peer is to be greeted: after a restart it knows no other dispatcher.
  bool HandleMessage(int peer, std::string_view bytes, Time now, bool* greet);

  // The relay selected for a zone; kUnset: none, or the tier is small.
  int RelayOf(int zone) const { return relay_ ? relay_->RelayOf(zone) : kUnset; }

  int ZoneOf(int peer) const;  // kUnset: no greeting received yet

  // Expires the entries that weren't refreshed within kEntryTtl. To be called periodically.
  void ExpireEntries(Time now);

  std::size_t dropped() const { return dropped_; }

 private:
  struct SlotEntry {
    int slots = 0;
    Time at = 0;
  };
  struct Peer {
    int life = -1, sequence = -1, zone = kUnset;
    Time received_at = 0;
    std::map<ShortId, SlotEntry> entries;
  };
  struct Stream {  // pending updates for the peers of one zone
    int sequence = 0;
    std::map<ShortId, bool> pending;
    std::vector<std::uint16_t> failures;  // whole entries
  };

  bool KnowsTooFewPeers() const {
    return relay_ && (2 * peers_.size() < static_cast<std::size_t>(tier_) || relay_->LacksRelay());
  }
  void ScheduleAt(Time at);
  void HandleEntry(Peer& peer, int number, std::uint16_t entry, Time now);

  const int life_, zone_, tier_;
  SlotTotals totals_;
  std::optional<Relay> relay_;
  Time due_at_ = 0;
  std::map<ShortId, double> in_use_;     // slots used by this dispatcher
  std::map<int, Stream> streams_;        // by zone
  std::unordered_map<int, Peer> peers_;  // by number
  std::size_t dropped_ = 0;
};

}  // namespace lichenlug
