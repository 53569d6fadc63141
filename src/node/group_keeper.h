// Adapts the replica groups of all registers to the live members, and sends the groups to dispatchers that
// don't know them. Runs on the control plane's thread.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "node/group_mover.h"
#include "node/group_query_targets.h"
#include "node/node_settings.h"
#include "node/register_service.h"

namespace lichenlug::node {

// The names of all registers.
std::vector<std::string> AllRegisters();

class GroupKeeper {
 public:
  // `host`, `settings` and `registers` must outlive this object.
  GroupKeeper(NodeHost* host, const NodeSettings& settings, RegisterService* registers, std::uint64_t seed)
      : host_(host),
        settings_(settings),
        registers_(registers),
        mover_(settings.name, settings.tolerated_machines, seed) {}

  // `live` includes this dispatcher. `replica_id`: identity of the local store; empty if this dispatcher must
  // not change any group.
  void Tick(Time now, const std::vector<Member>& live, const std::string& replica_id);
  Time NextTimer() const;
  AbsentMembers AbsentMembersOf(Time now, const std::string& register_name) const {
    return mover_.AbsentMembersOf(now, register_name);
  }
  void Receive(const std::string& from_address, const messages::GroupHints& hints);

 private:
  void SendNextHint(Time now, const std::vector<Member>& live);
  void ChangeGroups(Time now, const std::vector<Member>& live, bool may_change);
  void Change(GroupMove move);
  void QueryGroups(Time now, const std::vector<Member>& live);
  void SendHints(const std::string& address);

  NodeHost* host_;
  const NodeSettings& settings_;
  RegisterService* registers_;
  GroupMover mover_;
  Time next_check_ = 0, next_hint_ = 0, next_query_ = 0;
  std::size_t next_hint_index_ = 0;  // round-robin position among the members that receive hints
  GroupQueryTargets query_targets_;
};

}  // namespace lichenlug::node
