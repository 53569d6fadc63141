// The operator's calls: the configuration is taken, changed and given back through its register.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "configuration/configuration.h"
#include "controlplane/http_server.h"
#include "controlplane/register_service.h"

namespace lichenlug::controlplane {

class OperatorApi {
 public:
  // Whether what is chosen in this group outlasts the losses that the deployment is to bear.
  using IsSafeIn = std::function<bool(const messages::ReplicaGroup& group)>;
  using Learned = std::function<void(const messages::ConfigurationState& state, bool changed)>;

  // `learned` is told each version seen chosen, before the operator is answered.
  OperatorApi(RegisterService* registers, Learned learned, IsSafeIn is_safe_in);

  void Change(configuration::ChangeRequest::Method method, const ControlRequest& request,
              HttpServer::Respond respond);
  void Get(HttpServer::Respond respond);

 private:
  RegisterService* registers_;
  Learned learned_;
  IsSafeIn is_safe_in_;
};

}  // namespace lichenlug::controlplane
