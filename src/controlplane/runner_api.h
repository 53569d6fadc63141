// What runners call: heartbeats, and their word that they end. Runs on the control plane's thread.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "controlplane/end_acknowledgements.h"
#include "controlplane/http_server.h"
#include "controlplane/register_service.h"
#include "registry/registry.h"

namespace lichenlug::controlplane {

class RunnerApi {
 public:
  using Carry = std::function<void(registry::RegistryOutput output)>;

  // `registry` and `registers` outlive it. `own_address`: where other dispatchers reach this one.
  RunnerApi(std::string own_address, registry::Registry* registry, RegisterService* registers, Carry carry);

  // PUT: a heartbeat; DELETE: the runner ends.
  void Handle(const std::string& runner_id, const ControlRequest& request, HttpServer::Respond respond);

  // Answers those ends that may be acknowledged now.
  void CheckEnds(Time now);
  std::optional<Time> NextTimer() const { return ends_.NextTimer(); }

 private:
  void HandleHeartbeat(const std::string& runner_id, const std::string& body, HttpServer::Respond respond);
  void AcknowledgeEnd(const std::string& runner_id, ControlResponse response, HttpServer::Respond respond);
  bool EndIsKnownToCore(const std::string& runner_id) const;

  const std::string own_address_;
  registry::Registry* registry_;
  RegisterService* registers_;
  const Carry carry_;
  EndAcknowledgements ends_;
};

}  // namespace lichenlug::controlplane
