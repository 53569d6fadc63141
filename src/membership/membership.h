// Cluster membership as a state machine without I/O: heartbeats to a few monitors chosen by position on a
// ring, suspicion by several monitors, gossip of changes, incarnation numbers, joins through any seed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"
#include "messages/generated/membership.pb.h"

namespace lichenlug::membership_ring {

struct MembershipSend {
  std::string address;
  messages::MembershipMessage message;
};
struct MembershipOutput {
  std::vector<MembershipSend> sends;
  bool changed = false;  // Live() or a record in it changed
};

struct MembershipSettings {
  Member self;
  std::vector<std::string> seed_addresses;  // of the internal transport; may include this member
  Time heartbeat_interval = 400 * kMillisecond;
  Time suspect_after = 1500 * kMillisecond;
  Time dead_after = 2500 * kMillisecond;
  int monitors = 3;
  std::uint64_t seed = 0;
};

class Membership {
 public:
  explicit Membership(MembershipSettings settings);
  ~Membership();

  void Start(Time now, MembershipOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::MembershipMessage& message,
               MembershipOutput* output);
  void Tick(Time now, MembershipOutput* output);
  std::optional<Time> NextTimer() const;

  void UpdateSelf(Time now, bool ready, const std::string& replica_id, MembershipOutput* output);
  void SetSeeds(std::vector<std::string> seed_addresses);  // after a reload of the settings
  void Leave(Time now, MembershipOutput* output);          // on SIGTERM: announces the departure

  std::vector<Member> Live() const;        // alive or suspect, including this member, by name
  std::vector<Member> AllMembers() const;  // all known members, including dead ones
  std::optional<Time> DeadSince(const std::string& name) const;  // none if alive or unknown
  const Member& self() const;                                    // with its current incarnation

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::membership_ring
