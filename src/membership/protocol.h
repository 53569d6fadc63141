// The membership protocol: combines the member table, failure detector, gossip, contacts and anti-entropy,
// and turns their results into messages.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/contacts.h"
#include "membership/failure_detector.h"
#include "membership/gossip.h"
#include "membership/member_table.h"
#include "membership/membership.h"
#include "membership/random.h"

namespace lichenlug::membership_ring {

class Protocol {
 public:
  explicit Protocol(MembershipSettings settings);

  void Start(Time now, MembershipOutput* output);
  void Receive(Time now, const std::string& from, const messages::MembershipMessage& message,
               MembershipOutput* output);
  void Tick(Time now, MembershipOutput* output);
  std::optional<Time> NextTimer() const;
  void UpdateSelf(Time now, bool ready, const std::string& replica_id, MembershipOutput* output);
  void SetSeeds(std::vector<std::string> addresses) { contacts_.SetSeeds(std::move(addresses)); }
  void Leave(Time now, MembershipOutput* output);

  const MemberTable& table() const { return table_; }
  const Member& self() const { return self_; }

 private:
  // Context of one call from outside.
  struct CallContext {
    Time now;
    MembershipOutput& output;
  };

  void OnHeartbeat(const CallContext& call, const std::string& from,
                   const messages::MembershipHeartbeat& heartbeat);
  void OnJoin(const CallContext& call, const std::string& from, const messages::MembershipJoin& join);
  void OnTable(const CallContext& call, const std::string& from, const messages::MembershipTable& table);

  void ApplyRecord(const CallContext& call, const MemberRecord& record);
  void ApplyOwnerRecord(const CallContext& call, const std::string& from, const MemberRecord& record);
  void ApplySelfRecord(const CallContext& call, const MemberRecord& record);
  void ChangeSelf(const CallContext& call, const std::function<void(MemberRecord*)>& change);

  void DetectPause(const CallContext& call);
  void RunHeartbeatPeriod(const CallContext& call);
  void CheckOthers(const CallContext& call);
  void HandleFindings(const CallContext& call, const FailureDetector::Findings& findings);
  void ContactSeeds(const CallContext& call);
  void UpdateMonitors(const CallContext& call);
  void SendGossip(const CallContext& call);
  std::vector<std::string> GossipTargets(const std::vector<std::string>& names);

  messages::MembershipMessage MakeHeartbeat(const std::vector<std::string>& gossip, bool wants_reply) const;
  void SendToMember(const CallContext& call, const std::string& name, messages::MembershipMessage message);
  void SendToAddress(const CallContext& call, const std::string& address,
                     messages::MembershipMessage message);
  void SendTable(const CallContext& call, const std::string& address, messages::MembershipTable table);

  const MembershipSettings settings_;
  Member self_;
  Random random_;
  MemberTable table_;
  FailureDetector detector_;
  Gossip gossip_;
  Contacts contacts_;
  AntiEntropy anti_entropy_;

  bool started_ = false, left_ = false;
  Time started_at_ = 0;
  Time last_call_ = 0;      // of Tick or Receive
  Time last_received_ = 0;  // from any member
  Time next_heartbeat_ = 0;
  Time next_forget_ = 0;
  std::optional<Time> next_check_;
  std::vector<std::string> monitors_;
  std::uint64_t seen_ring_version_ = 0;
};

}  // namespace lichenlug::membership_ring
