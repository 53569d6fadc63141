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
#include "membership/member_table.h"
#include "membership/membership.h"
#include "membership/news.h"
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
  struct Call {
    Time now;
    MembershipOutput& output;
  };

  void OnHeartbeat(const Call& call, const std::string& from, const messages::MembershipHeartbeat& heartbeat);
  void OnJoin(const Call& call, const std::string& from, const messages::MembershipJoin& join);
  void OnTable(const Call& call, const std::string& from, const messages::MembershipTable& table);

  void Learn(const Call& call, const MemberRecord& record);
  void LearnFromOwner(const Call& call, const std::string& from, const MemberRecord& record);
  void LearnAboutSelf(const Call& call, const MemberRecord& record);
  void ChangeSelf(const Call& call, const std::function<void(MemberRecord*)>& change);

  void NotePauses(const Call& call);
  void HeartbeatPeriod(const Call& call);
  void CheckOthers(const Call& call);
  void ActOn(const Call& call, const FailureDetector::Findings& findings);
  void CallSeeds(const Call& call);
  void GreetNewMonitors(const Call& call);
  void SendNews(const Call& call);
  std::vector<std::string> NewsTargets(const std::vector<std::string>& names);

  messages::MembershipMessage MakeHeartbeat(const std::vector<std::string>& news, bool wants_reply) const;
  void SendToMember(const Call& call, const std::string& name, messages::MembershipMessage message);
  void SendToAddress(const Call& call, const std::string& address, messages::MembershipMessage message);
  void SendTable(const Call& call, const std::string& address, messages::MembershipTable table);

  const MembershipSettings settings_;
  Member self_;
  Random random_;
  MemberTable table_;
  FailureDetector detector_;
  News news_;
  Contacts contacts_;
  AntiEntropy anti_entropy_;

  bool started_ = false, left_ = false;
  Time started_at_ = 0;
  Time last_call_ = 0;      // of Tick or Receive
  Time last_received_ = 0;  // from any member
  Time next_heartbeat_ = 0;
  Time next_forgetting_ = 0;
  std::optional<Time> next_check_;
  std::vector<std::string> monitors_;
  std::uint64_t ring_seen_ = 0;
};

}  // namespace lichenlug::membership_ring
