// The control plane of one dispatcher, without I/O: membership, the registry of runners, the replica groups,
// the configuration and the duties, and the routing of messages between them. The host provides time,
// sockets, disk and data plane, so that the same code runs on a machine and in a simulation.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "configuration/follower.h"
#include "membership/membership.h"
#include "node/configuration_source.h"
#include "node/control_call.h"
#include "node/duty_service.h"
#include "node/group_keeper.h"
#include "node/lifecycle.h"
#include "node/node_host.h"
#include "node/node_settings.h"
#include "node/operator_api.h"
#include "node/register_service.h"
#include "node/runner_service.h"

namespace lichenlug::node {

class ControlNode {
 public:
  // `host` must outlive this object. All methods are called on one thread.
  ControlNode(NodeHost* host, NodeSettings settings, const NodeIdentity& identity);

  void Start();
  void Receive(messages::Envelope envelope);                    // from another dispatcher
  void HandleControl(ControlRequest request, Respond respond);  // from the operator or a runner
  void Tick();                                                  // at NextTimer(), or later
  void Settle();  // after each batch of calls to the methods above
  Time NextTimer() const;

  void ReloadSettings(const NodeSettings& settings);  // the seeds may have changed
  void BeginDrain();  // SIGTERM: no longer ready; exits when no work is pending
  // The data plane received a request that no runner can serve: takes its report immediately.
  void DemandHasChanged();

  bool is_ready() const { return lifecycle_.is_ready(); }

 private:
  // Messages
  void ReceiveGroupHints(Time now, const std::string& from, const messages::GroupHints& hints);
  void Execute(membership_ring::MembershipOutput output);
  void Execute(configuration::FollowerOutput output);
  // State and timers
  ControlResponse Status() const;
  void MembersChanged(Time now);
  void RunnersChanged(std::shared_ptr<const RunnerList> runners);
  void Learn(const messages::ConfigurationState& state, bool push);
  void ReportDataPlane(Time now);
  void PublishSnapshot(Time now);
  void UpdateReadiness(Time now);
  void ExitIfDrained(Time now);
  bool HasTransferableVotes() const;
  Time WallNow() const { return host_->Now() + wall_offset_; }

  NodeHost* host_;
  NodeSettings settings_;
  Time started_at_;
  Time wall_offset_;  // true Unix time minus the steady clock, at process start

  RegisterService registers_;
  GroupKeeper groups_;
  membership_ring::Membership membership_;
  configuration::Follower follower_;
  DutyService duties_;
  RunnerService runners_;
  OperatorApi operator_api_;

  std::vector<Member> live_;  // including this dispatcher
  std::string replica_id_;
  bool snapshot_changed_ = true;
  ConfigurationSource configuration_source_;
  Lifecycle lifecycle_;
  Time next_report_ = 0;
};

}  // namespace lichenlug::node
