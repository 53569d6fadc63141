#include "node/runner_api.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "configuration/configuration.h"
#include "consensus/group.h"
#include "node/status.h"
#include "registry/registry.h"

namespace lichenlug::node {

namespace {

constexpr Time kReadTimeout = 800 * kMillisecond;

}  // namespace

RunnerApi::RunnerApi(NodeHost* host, std::string own_address, registry::Registry* registry,
                     RegisterService* registers, Execute execute)
    : host_(host),
      own_address_(std::move(own_address)),
      registry_(registry),
      registers_(registers),
      execute_(std::move(execute)) {}

void RunnerApi::Handle(const std::string& runner_id, const ControlRequest& request, Respond respond) {
  if (request.method == "PUT") return HandleHeartbeat(runner_id, request.body, std::move(respond));
  if (request.method != "DELETE") return respond(PlainStatus(405));
  registry::RegistryOutput output;
  registry_->Delete(host_->Now(), runner_id, &output);
  execute_(std::move(output));
  AcknowledgeEnd(runner_id, PlainStatus(200), std::move(respond));
}

void RunnerApi::HandleHeartbeat(const std::string& runner_id, const std::string& body, Respond respond) {
  const auto heartbeat = registry::ReadHeartbeat(runner_id, body);
  if (const auto* problem = std::get_if<std::string>(&heartbeat)) {
    LOG_EVERY_N(WARNING, 50) << "heartbeat of " << runner_id << " refused: " << *problem;
    ControlResponse refusal = PlainStatus(400);
    refusal.body = *problem;
    refusal.content_type = "text/plain";
    return respond(std::move(refusal));
  }
  registry::RegistryOutput output;
  const auto answer =
      registry_->Heartbeat(host_->Now(), std::get<messages::RunnerRecord>(heartbeat), &output);
  execute_(std::move(output));
  ControlResponse response = PlainStatus(answer.taken ? 200 : 503);
  if (answer.taken) response.body = HeartbeatAnswer(answer.report_to);
  if (answer.taken && answer.is_end)
    return AcknowledgeEnd(runner_id, std::move(response), std::move(respond));
  respond(std::move(response));
}

// The acknowledgement of a drain or an end binds all dispatchers, so a dispatcher that is cut off from the
// others must not send it.
void RunnerApi::AcknowledgeEnd(const std::string& runner_id, ControlResponse response, Respond respond) {
  const Time now = host_->Now();
  std::vector<std::string> core;
  const messages::ReplicaGroup group = registers_->KnownGroup(std::string(configuration::kRegisterName));
  for (const auto& replica : consensus::AllMembers(group)) {
    if (replica.address() != own_address_) core.push_back(replica.address());
  }
  ends_.Add(now, runner_id, std::move(response), std::move(respond));
  registry::RegistryOutput output;
  registry_->SendEnd(now, runner_id, core, &output);
  execute_(std::move(output));
  CheckEnds(now);
}

void RunnerApi::CheckEnds(Time now) {
  const int refused =
      ends_.Check(now, [this](const std::string& runner_id) { return EndIsKnownToCore(runner_id); });
  if (refused == 0) return;
  LOG_EVERY_N(WARNING, 20)
      << "runners: an end is not acknowledged, because no majority of the core has recorded it";
  // The group may have changed; a read updates the known one.
  registers_->Read(std::string(configuration::kRegisterName), now + kReadTimeout,
                   [](const consensus::Completion&) {});
}

bool RunnerApi::EndIsKnownToCore(const std::string& runner_id) const {
  const messages::ReplicaGroup group = registers_->KnownGroup(std::string(configuration::kRegisterName));
  const auto members = consensus::AllMembers(group);
  return consensus::IsQuorum(group, [&](const std::string& replica_id) {
    return std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return member.replica_id() == replica_id &&
             (member.address() == own_address_ ? registry_->IsEndStored(runner_id)
                                               : registry_->IsEndAcknowledgedBy(runner_id, member.address()));
    });
  });
}

}  // namespace lichenlug::node
