// Keeps the replica groups of all registers as the live members want them, and brings the groups to
// dispatchers that do not know them. Runs on the control plane's thread.
#pragma once

#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

#include "cluster/member.h"
#include "controlplane/group_asking.h"
#include "controlplane/node_settings.h"
#include "controlplane/register_service.h"

namespace lichenlug::controlplane {

// All registers that there are.
std::vector<std::string> AllRegisters();

class GroupKeeper {
 public:
  using SendFunction = RegisterService::SendFunction;

  // `settings` and `registers` outlive it.
  GroupKeeper(const NodeSettings& settings, RegisterService* registers, SendFunction send)
      : settings_(settings), registers_(registers), send_(std::move(send)) {}

  // `live` holds this dispatcher too. `replica_id`: of the store here; empty where this dispatcher changes no
  // group.
  void Tick(Time now, const std::vector<Member>& live, const std::string& replica_id);
  Time NextTimer() const;
  void Receive(const std::string& from_address, const messages::GroupHints& hints);

 private:
  void TellInTurn(Time now, const std::vector<Member>& live);
  void ChangeGroups(Time now, const std::vector<Member>& live);
  void Change(Time now, const std::string& register_name, const messages::ReplicaGroup& present,
              std::vector<messages::ReplicaIdentity> wanted);
  void Ask(Time now, const std::vector<Member>& live);
  void SendHints(const std::string& address);

  const NodeSettings& settings_;
  RegisterService* registers_;
  SendFunction send_;
  std::unordered_set<std::string> changing_;  // registers whose group is being changed from here
  Time next_keep_ = 0, next_hint_ = 0, next_ask_ = 0;
  std::size_t turn_ = 0;  // of the members that are told
  GroupAsking asking_;
};

}  // namespace lichenlug::controlplane
