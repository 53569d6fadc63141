// Anti-entropy: repairs what direct propagation has missed. Once a second a dispatcher sends a digest to one
// random peer and another to one random core peer; where the hashes differ, the two exchange the missing
// records. A drain or removal stored by a majority of the core thus reaches every dispatcher that can reach
// the core.
//
//   A: digest with a hash  ->  B: its own digest, with entries  ->  A: the records that B lacks, and the ids
//   of those that A lacks  ->  B: these records.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"
#include "registry/registry.h"
#include "registry/table.h"

namespace lichenlug::registry {

class AntiEntropy {
 public:
  AntiEntropy(Time heartbeat_interval, std::uint64_t seed)
      : heartbeat_interval_(heartbeat_interval), random_(seed) {}

  void SetPeers(Time now, const std::vector<Member>& live, const std::vector<std::string>& added);
  void Tick(Time now, const RunnerTable& table, RegistryOutput* output);
  Time NextTimer() const { return next_at_; }

  void Receive(Time now, const std::string& from_address, const messages::RegistryDigest& digest,
               RunnerTable* table, RegistryOutput* output);
  void SendRequested(Time now, const std::string& from_address, const messages::RegistryUpdate& update,
                     RunnerTable* table, RegistryOutput* output) const;
  void OnUpdateMerged(RunnerTable* table);  // to be called after records were merged

  // Whether this dispatcher has received the complete table of a settled peer, or has received heartbeats for
  // long enough.
  bool Settled(Time now) const;

 private:
  void SendHash(Time now, const std::string& address, const RunnerTable& table, RegistryOutput* output) const;
  void Repair(Time now, const std::string& from_address, const messages::RegistryDigest& digest,
              RunnerTable* table, RegistryOutput* output);

  Time heartbeat_interval_;
  std::mt19937_64 random_;
  std::vector<std::string> peers_;
  std::vector<std::string> core_peers_;      // the peers that count for the quorum
  std::vector<std::string> unsynced_peers_;  // newly live peers, which are sent a digest immediately
  Time started_at_ = -1;
  Time next_at_ = 0;
  Time fast_until_ = 0;  // set when a peer fails, as it may have been propagating a change
  bool settled_ = false;
  std::map<std::string, Version> awaited_;  // requested from a settled peer, not yet received
};

}  // namespace lichenlug::registry
