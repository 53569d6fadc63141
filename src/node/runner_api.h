// The calls of runners: heartbeats, and the announcement of their end. Runs on the control plane's thread.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "node/control_call.h"
#include "node/end_acknowledgements.h"
#include "node/register_service.h"
#include "registry/registry.h"

namespace lichenlug::node {

class RunnerApi {
 public:
  using Execute = std::function<void(registry::RegistryOutput output)>;

  // `host`, `registry` and `registers` must outlive this object. `own_address`: where other dispatchers reach
  // this one.
  RunnerApi(NodeHost* host, std::string own_address, registry::Registry* registry, RegisterService* registers,
            Execute execute);

  // PUT: a heartbeat; DELETE: the runner ends.
  void Handle(const std::string& runner_id, const ControlRequest& request, Respond respond);

  // Acknowledges the ends that are on the disks of a majority of the core by now.
  void CheckEnds(Time now);
  std::optional<Time> NextTimer() const { return ends_.NextTimer(); }

 private:
  void HandleHeartbeat(const std::string& runner_id, const std::string& body, Respond respond);
  void AcknowledgeEnd(const std::string& runner_id, ControlResponse response, Respond respond);
  bool EndIsKnownToCore(const std::string& runner_id) const;

  NodeHost* host_;
  const std::string own_address_;
  registry::Registry* registry_;
  RegisterService* registers_;
  const Execute execute_;
  EndAcknowledgements ends_;
};

}  // namespace lichenlug::node
