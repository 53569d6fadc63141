// The status report of a dispatcher, served at GET /-/status for the operator's tool.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cluster/runner_list.h"
#include "configuration/follower.h"
#include "node/duty_service.h"

namespace lichenlug::node {

struct StatusInput {
  std::string name;
  std::vector<std::string> roles;
  bool ready = false;
  bool confirmed = false;
  std::string replica_id;
  std::vector<Member> live;
  const RunnerList* runners = nullptr;
  const configuration::Follower::Version* version = nullptr;
  configuration::FollowerStatistics distribution;
  std::vector<DutyService::OwnershipStatus> ownership_statuses;
  std::vector<std::string> placement;
  dataplane::Report requests;
  std::vector<std::pair<std::string, messages::ReplicaGroup>> groups;
};

std::string StatusJson(const StatusInput& input);

// The response body for a runner's heartbeat.
std::string HeartbeatAnswer(const std::string& report_to);

}  // namespace lichenlug::node
