// Brings changes of records to every live dispatcher: at once, and again until each has acknowledged them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
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
  std::vector<std::string> Acknowledged(const std::string& address, std::uint64_t number);
  // The record is another now: those that have yet to acknowledge it are sent this one.
  void SendAnew(const std::string& runner_id);
  bool IsUnderWay(const std::string& address, const std::string& runner_id) const;

  // Sends what was added since; a message holds all that its receiver has not acknowledged.
  void Flush(Time now, RunnerTable* table, RegistryOutput* output);
  void Tick(Time now, RunnerTable* table, RegistryOutput* output);  // repeats
  std::optional<Time> NextTimer() const;

 private:
  struct Peer {
    std::string name;
    std::uint64_t incarnation = 0;
    // By runner: the number of the first message with its present version; 0: not sent yet.
    std::map<std::string, std::uint64_t> unacknowledged;
    bool has_unsent = false;
    int repeats = 0;
    Time repeat_at = 0;
  };

  void Send(Time now, const std::string& address, Peer* peer, RunnerTable* table, RegistryOutput* output);

  std::uint64_t last_number_;          // of all peers together, so none is ever used twice
  std::map<std::string, Peer> peers_;  // by address
};

}  // namespace lichenlug::registry
