// Propagates record changes to every live dispatcher, with retries until each has acknowledged them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/delay_estimate.h"
#include "cluster/member.h"
#include "registry/registry.h"
#include "registry/table.h"

namespace lichenlug::registry {

class Spread {
 public:
  // Message numbers start at a random value, so that an acknowledgement of a message sent before a restart
  // matches no message of this process.
  explicit Spread(std::uint64_t seed);

  // Returns the addresses of the peers that are newly live.
  std::vector<std::string> SetPeers(const std::vector<Member>& live);

  void Add(const std::string& runner_id);  // for every peer
  void AddFor(const std::string& address, const std::string& runner_id);
  // Returns the runners whose current records the peer holds, and has stored if they announce an end,
  // according to this acknowledgement.
  std::vector<std::string> Acknowledged(Time now, const std::string& address,
                                        const messages::RegistryAck& ack, RunnerTable* table);
  // The record has changed: peers that have not acknowledged the previous version are sent this one.
  void RequeueIfPending(const std::string& runner_id);
  bool IsInFlight(const std::string& address, const std::string& runner_id) const;

  // Sends what was added since the last call. A peer with an outstanding acknowledgement gets no further
  // changes until it arrives, except for ends: on a slow link changes then queue here, where a newer record
  // replaces an older one, instead of on the link. Changes do not wait for the peer's disk. Only Tick()
  // retransmits.
  void Flush(Time now, RunnerTable* table, RegistryOutput* output);
  void Tick(Time now, RunnerTable* table, RegistryOutput* output);  // retransmits, with exponential backoff
  std::optional<Time> NextTimer() const;

 private:
  // The current version of a record that one peer has not acknowledged.
  struct Pending {
    // Numbers of the last messages that contained it; empty: not sent yet.
    std::vector<std::uint64_t> sent_in;
    bool is_received = false;  // the peer has it, but has yet to store it
    int repeats = 0;
    Time sent_at = 0, repeat_at = 0;
  };
  struct Peer {
    std::string name;
    std::uint64_t incarnation = 0;
    std::map<std::string, Pending> pending;  // by runner
    bool has_unsent = false;
    std::optional<Time> repeat_at;  // the earliest retransmission; none: nothing awaits an acknowledgement
  };

  void ScheduleRepeat(const std::string& address, Peer* peer, std::optional<Time> at);
  // The runners whose current records were sent in the message with this number.
  static std::vector<std::string> SentIn(const Peer& peer, std::uint64_t number);
  static bool IsDue(Time now, const Pending& pending);
  static bool AwaitsAcknowledgement(const Peer& peer);  // other than of ends that are yet to be stored
  static bool HasUnsentEnd(const Peer& peer, RunnerTable* table);
  void RecordSent(Time now, std::uint64_t number, Pending* pending);
  // The runners whose records go into the next message to a peer: unsent ones, and those due for
  // retransmission.
  std::vector<std::string> CollectDue(Time now, const Peer& peer, RunnerTable* table) const;
  void Send(Time now, const std::string& address, Peer* peer, RunnerTable* table, RegistryOutput* output);

  static constexpr Time kMinRepeatAfter = 150 * kMillisecond, kMaxRepeatAfter = 600 * kMillisecond;

  // Round-trip estimate over all peers, as their messages share this dispatcher's link.
  DelayEstimate delay_{kMinRepeatAfter, kMaxRepeatAfter};
  std::uint64_t last_number_;          // shared by all peers, so that no number is reused
  std::map<std::string, Peer> peers_;  // by address
  // Of hundreds of peers few have work at a time: those that may be sent something since the last Flush(),
  // and those with a retransmission scheduled.
  std::set<std::string> may_send_;
  std::set<std::pair<Time, std::string>> repeats_;
};

}  // namespace lichenlug::registry
