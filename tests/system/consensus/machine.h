// A simulated machine: a process that may be killed or frozen, a local clock, and a disk that loses unsynced
// writes.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "consensus/register_node.h"

namespace lichenlug::consensus {

struct DiskWrite {
  std::uint64_t token = 0;
  std::string key;
  std::string value;
};

struct Machine {
  std::string address;
  bool has_disk = false;
  bool removed = false;  // permanently
  std::string replica_id;
  std::map<std::string, std::string> disk;  // synced
  std::deque<DiskWrite> pending_writes;     // of the current process, in order
  Time disk_stalls_until = 0;
  Time disk_fails_until = 0;

  std::unique_ptr<RegisterNode> node;  // null while the process is down
  std::uint64_t incarnation = 0;       // number of process starts
  Time frozen_until = 0;
  Time clock_offset = 0;
  Time tick_at = -1;                   // the next scheduled tick
  std::map<OperationId, int> pending;  // calls in progress, by operation

  bool IsRunning() const { return node != nullptr; }
  messages::ReplicaIdentity Identity() const {
    messages::ReplicaIdentity identity;
    identity.set_replica_id(replica_id);
    identity.set_address(address);
    identity.set_name(address);
    return identity;
  }
};

}  // namespace lichenlug::consensus
