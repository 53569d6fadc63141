// Runs the duties of this dispatcher: ownership of each shard, usage reports, and the placement of each
// service that has an engine.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/runner_list.h"
#include "duties/demand_reports.h"
#include "duties/ownership.h"
#include "duties/usage.h"
#include "duties/usage_handover.h"
#include "node/duty_registers.h"
#include "node/node_host.h"
#include "node/node_settings.h"
#include "node/register_service.h"
#include "node/service_placements.h"

namespace lichenlug::node {

class DutyService {
 public:
  // `host` and `registers` must outlive this object.
  DutyService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity,
              RegisterService* registers);
  ~DutyService();

  void SetMembers(Time now, std::vector<Member> live);
  void SetConfiguration(std::shared_ptr<const messages::Configuration> configuration);
  void SetRunners(std::shared_ptr<const RunnerList> runners);
  // Records this dispatcher's own counts and demand, and sends them to the members that have a store.
  void Report(Time now, Time wall_now, const dataplane::Report& report);
  void Receive(Time wall_now, const messages::DutiesMessage& message);
  // The local replica was asked to accept this payload of a register.
  void OnAcceptRequest(Time now, const std::string& register_name, const std::string& payload);
  void Tick(Time now, Time wall_now);
  std::optional<Time> NextTimer() const;
  void Resign(Time now);  // SIGTERM

  struct OwnershipStatus {
    std::string register_name;
    std::string owner;
    std::uint64_t epoch = 0;
    bool owned_here = false;
  };
  std::vector<OwnershipStatus> OwnershipStatuses(Time now) const;
  std::vector<std::string> Explain(Time now) const { return placements_.Explain(now); }

 private:
  duties::Ownership& OwnershipOf(const std::string& register_name);
  bool IsWanted(const std::string& register_name) const;
  void Execute(const std::string& register_name, duties::OwnershipOutput output);
  void ActOnUsage(Time now, Time wall_now);
  void ActOnPlacement(Time now);
  void LogPlacementNotices();
  void ScheduleActBy(std::optional<Time> time);  // schedules the next action at `time` or earlier
  void HandOverUsage();
  void ExecuteUsage(duties::UsageDuty::Output output);
  void CallAsOwner(const std::string& register_name, duties::HttpCall call, NodeHost::CallDone done);
  void MergeDemand(Time now, const messages::DemandReport& report);
  void SendToStores(const messages::DutiesMessage& message);

  NodeHost* host_;
  NodeSettings settings_;
  NodeIdentity identity_;
  RegisterService* registers_;
  std::vector<Member> live_;
  std::shared_ptr<const messages::Configuration> configuration_;
  std::shared_ptr<const RunnerList> runners_;
  std::map<std::string, std::unique_ptr<duties::Ownership>> ownerships_;  // by register
  duties::UsageDuty usage_;
  duties::UsageHandover usage_handover_;
  ServicePlacements placements_;
  duties::DemandReports demand_;
  std::uint64_t demand_number_ = 0;
  Time next_act_ = 0;
  bool resigned_ = false;
};

}  // namespace lichenlug::node
