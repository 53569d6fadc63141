// Brings changes of records to every live dispatcher: at once, and again until each has acknowledged them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/delay_estimate.h"
#include "cluster/member.h"
#include "registry/registry.h"
#include "registry/table.h"

namespace lichenlug::registry {

class Spread {
 public:
  // Numbers begin anywhere, so that what acknowledges a message of an earlier life of this process fits none.
  explicit Spread(std::uint64_t seed);

  // Returns the addresses of those that are newly live.
  std::vector<std::string> SetPeers(const std::vector<Member>& live);

  void Add(const std::string& runner_id);  // for every peer
  void AddFor(const std::string& address, const std::string& runner_id);
  // Returns the runners whose present records the peer holds now.
  std::vector<std::string> Acknowledged(Time now, const std::string& address, std::uint64_t number);
  // The record is another now: those that have yet to acknowledge it are sent this one.
  void SendAnew(const std::string& runner_id);
  bool IsInFlight(const std::string& address, const std::string& runner_id) const;

  // Sends what was added since. A peer that has yet to acknowledge what it was sent gets no more changes
  // until it has, but for ends: what a slow link can't carry waits here, where a newer record takes the place
  // of an older one, and not on the link. What is under way is repeated by Tick() alone.
  void Flush(Time now, RunnerTable* table, RegistryOutput* output);
  void Tick(Time now, RunnerTable* table, RegistryOutput* output);  // repeats, with exponential backoff
  std::optional<Time> NextTimer() const;

 private:
  // The present version of a record, as far as one peer has yet to acknowledge it.
  struct Pending {
    std::vector<std::uint64_t> sent_in;  // the numbers of the last messages that held it; empty: not sent yet
    int repeats = 0;
    Time sent_at = 0, repeat_at = 0;
  };
  struct Peer {
    std::string name;
    std::uint64_t incarnation = 0;
    std::map<std::string, Pending> pending;  // by runner
    bool has_unsent = false;
    Time repeat_at = 0;  // nothing is due before
  };

  static bool IsDue(Time now, const Pending& pending);
  static bool AwaitsAcknowledgement(const Peer& peer);
  static bool HasUnsentEnd(const Peer& peer, RunnerTable* table);
  void NoteSent(Time now, std::uint64_t number, Pending* pending);
  // The runners whose records go into a message to one peer: those not sent yet, and those to be repeated.
  std::vector<std::string> TakeDue(Time now, const Peer& peer, RunnerTable* table) const;
  void Send(Time now, const std::string& address, Peer* peer, RunnerTable* table, RegistryOutput* output);

  static constexpr Time kMinRepeatAfter = 150 * kMillisecond, kLongestRepeatAfter = 600 * kMillisecond;

  // Of acknowledgements by all peers: their messages share this dispatcher's link.
  DelayEstimate delay_{kMinRepeatAfter, kLongestRepeatAfter};
  std::uint64_t last_number_;          // of all peers together, so none is ever used twice
  std::map<std::string, Peer> peers_;  // by address
};

}  // namespace lichenlug::registry
