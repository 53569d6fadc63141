#include "node/status.h"

#include <nlohmann/json.hpp>

namespace lichenlug::node {

namespace {

using Json = nlohmann::json;

Json MemberJson(const Member& member) {
  return {{"name", member.name},
          {"address", member.address},
          {"control_address", member.control_address},
          {"zone", member.zone},
          {"ready", member.ready},
          {"replica_id", member.replica_id},
          {"incarnation", member.incarnation}};
}

Json RunnerJson(const messages::RunnerRecord& runner) {
  Json models = Json::array();
  for (const auto& model : runner.models()) models.push_back(model.name());
  return {{"id", runner.runner_id()},
          {"service", runner.service()},
          {"address", runner.address()},
          {"zone", runner.zone()},
          {"state", messages::RunnerState_Name(runner.state())},
          {"models", models}};
}

Json RequestsJson(const dataplane::Report& report) {
  Json cuts = Json::object();
  for (std::size_t reason = 0; reason < report.cuts.size(); ++reason)
    cuts[std::string(dataplane::ToText(static_cast<dataplane::CutReason>(reason)))] = report.cuts[reason];
  return {{"begun", report.requests},      {"served", report.served},
          {"refused", report.refused},     {"failed", report.failed},
          {"in_work", report.in_work},     {"connections", report.connections},
          {"suspected", report.suspected}, {"cut_by_reason", std::move(cuts)}};
}

Json DistributionJson(const configuration::FollowerStatistics& statistics) {
  return {{"installed", statistics.installed},   {"damaged", statistics.damaged},
          {"stale", statistics.stale},           {"no_base", statistics.no_base},
          {"sent_whole", statistics.sent_whole}, {"sent_as_difference", statistics.sent_as_difference},
          {"sent_bytes", statistics.sent_bytes}};
}

Json GroupJson(const messages::ReplicaGroup& group) {
  Json members = Json::array();
  for (const auto& member : group.members()) members.push_back(member.replica_id() + "@" + member.address());
  return {{"version", group.version()}, {"members", members}, {"changing", group.next_members_size() > 0}};
}

}  // namespace

std::string StatusJson(const StatusInput& input) {
  Json status{{"name", input.name},
              {"roles", input.roles},
              {"ready", input.ready},
              {"confirmed", input.confirmed},
              {"replica_id", input.replica_id},
              {"members", Json::array()},
              {"runners", Json::array()},
              {"duties", Json::array()},
              {"placement", input.placement},
              {"registers", Json::object()},
              {"distribution", DistributionJson(input.distribution)},
              {"requests", RequestsJson(input.requests)}};
  if (input.version != nullptr) {
    status["edition"] = input.version->edition;
    status["revision"] = input.version->revision;
  }
  for (const Member& member : input.live) status["members"].push_back(MemberJson(member));
  for (const auto& runner : *input.runners) status["runners"].push_back(RunnerJson(*runner));
  for (const auto& ownership_status : input.ownership_statuses)
    status["duties"].push_back({{"register", ownership_status.register_name},
                                {"owner", ownership_status.owner},
                                {"epoch", ownership_status.epoch},
                                {"held_here", ownership_status.owned_here}});
  for (const auto& [name, group] : input.groups) status["registers"][name] = GroupJson(group);
  return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string HeartbeatAnswer(const std::string& report_to) {
  return report_to.empty() ? "{}" : Json{{"report_to", report_to}}.dump();
}

}  // namespace lichenlug::node
