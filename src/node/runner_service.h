// Runs the registry of runners: its messages, timers and stored ends, and the calls of runners. Runs on the
// control plane's thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/runner_list.h"
#include "node/control_call.h"
#include "node/node_host.h"
#include "node/node_settings.h"
#include "node/register_service.h"
#include "node/runner_api.h"
#include "registry/registry.h"

namespace lichenlug::node {

class RunnerService {
 public:
  using RunnersChanged = std::function<void(std::shared_ptr<const RunnerList> runners)>;

  // `host` and `registers` must outlive this object.
  RunnerService(NodeHost* host, const NodeSettings& settings, const NodeIdentity& identity,
                RegisterService* registers, RunnersChanged runners_changed);

  // Takes the announced ends of runners out of the records of the opened store, and restores them.
  void RestoreEnds(RegisterService::StoreRecords* records);
  void Receive(const std::string& from_address, const messages::RegistryMessage& message);
  void HandleCall(const std::string& runner_id, const ControlRequest& request, Respond respond);
  void SetMembers(Time now, const std::vector<Member>& others);
  void Tick(Time now);
  std::optional<Time> NextTimer() const;

  const std::shared_ptr<const RunnerList>& runners() const { return runners_; }
  bool Settled(Time now) const { return registry_.Settled(now); }

 private:
  void Execute(registry::RegistryOutput output);
  void Execute(registry::EndWrite write);

  NodeHost* host_;
  registry::Registry registry_;
  RunnerApi api_;
  const RunnersChanged runners_changed_;
  std::shared_ptr<const RunnerList> runners_;
};

}  // namespace lichenlug::node
