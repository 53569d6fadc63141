// The control plane of one process: the state machines, wired to the loop, the transport, the disk and the
// data plane. Everything here runs on the loop's thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/follower.h"
#include "controlplane/configuration_source.h"
#include "controlplane/duty_service.h"
#include "controlplane/event_loop.h"
#include "controlplane/group_keeper.h"
#include "controlplane/http_client.h"
#include "controlplane/http_server.h"
#include "controlplane/lifecycle.h"
#include "controlplane/node_settings.h"
#include "controlplane/operator_api.h"
#include "controlplane/register_service.h"
#include "controlplane/runner_api.h"
#include "dataplane/data_plane.h"
#include "membership/membership.h"
#include "registry/registry.h"
#include "transport/transport.h"

namespace lichenlug::controlplane {

class ControlPlane {
 public:
  ControlPlane(EventLoop* loop, NodeSettings settings, dataplane::DataPlane* data_plane);
  ~ControlPlane();

  bool Start(std::string* error);                     // one line with the remedy
  void ReloadSettings(const NodeSettings& settings);  // the seeds may have changed
  void BeginDrain();  // SIGTERM: not ready any more; the loop stops when nothing is owed

 private:
  // Messages
  void Send(const std::string& address, messages::Envelope envelope);
  void Receive(messages::Envelope envelope);
  void ReceiveGroupHints(Time now, const std::string& from, const messages::GroupHints& hints);
  void Carry(membership_ring::MembershipOutput output);
  void Carry(registry::RegistryOutput output);
  void Carry(configuration::FollowerOutput output);
  // Calls
  void HandleControl(ControlRequest request, HttpServer::Respond respond);
  ControlResponse Status() const;
  // Time
  void Wake();
  void Settle();  // after each batch of events
  void TickMachines(Time now);
  void ScheduleWake();
  // Duties of this file
  void MembersChanged(Time now);
  void Learn(const messages::ConfigurationState& state, bool push);
  void ReportDataPlane(Time now);
  void PublishSnapshot(Time now);
  void UpdateReadiness(Time now);
  void ExitIfDrained(Time now);
  bool VotesWhereOthersCould() const;
  Time WallNow() const { return EventLoop::Now() + wall_offset_; }

  EventLoop* loop_;
  NodeSettings settings_;
  dataplane::DataPlane* data_plane_;
  Time started_at_;
  Time wall_offset_;  // true Unix time less the steady clock, as this process began
  std::uint64_t seed_;
  std::uint64_t incarnation_;

  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<RegisterService> registers_;
  GroupKeeper groups_;
  membership_ring::Membership membership_;
  registry::Registry registry_;
  configuration::Follower follower_;
  HttpClient client_;
  DutyService duties_;
  OperatorApi operator_api_;
  RunnerApi runner_api_;
  std::unique_ptr<HttpServer> control_server_, ready_server_;

  std::vector<Member> live_;  // this one included
  std::shared_ptr<const std::vector<messages::RunnerRecord>> runners_;
  std::string replica_id_;
  bool snapshot_changed_ = true;
  ConfigurationSource configuration_source_;
  Lifecycle lifecycle_;
  Time next_report_ = 0;
};

}  // namespace lichenlug::controlplane
