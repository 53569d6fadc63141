// What every part of the control plane knows of a dispatcher of the system.
#pragma once

#include <cstdint>
#include <string>

namespace lichenlug {

// One dispatcher. `name` is unique among machines; `incarnation` among the lives of its process.
struct Member {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;          // of the internal transport, "ip:port"
  std::string control_address;  // where runners and the operator call, "ip:port"
  std::string zone;
  std::string region;
  bool counts_for_quorum = false;
  bool ready = false;      // serves clients with a confirmed configuration
  std::string replica_id;  // identity of its store; empty: it has none

  bool operator==(const Member&) const = default;
};

}  // namespace lichenlug
