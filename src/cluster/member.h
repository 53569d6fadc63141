// Description of one dispatcher in the cluster, shared by all parts of the control plane.
#pragma once

#include <cstdint>
#include <string>

namespace lichenlug {

// `name` is unique among machines; `incarnation` is unique among the restarts of the process of that name.
struct Member {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;          // of the internal transport, "ip:port"
  std::string control_address;  // for runners and the operator, "ip:port"
  std::string zone;
  std::string region;
  bool counts_for_quorum = false;
  bool ready = false;      // serves clients with a confirmed configuration
  std::string replica_id;  // identity of its store; empty if it has none

  bool operator==(const Member&) const = default;
};

}  // namespace lichenlug
