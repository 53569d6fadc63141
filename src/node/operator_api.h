// The operator's calls: reads and changes the configuration through its register.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "configuration/configuration.h"
#include "node/control_call.h"
#include "node/register_service.h"

namespace lichenlug::node {

class OperatorApi {
 public:
  // Whether a value chosen in this group survives the losses that the deployment must tolerate.
  using IsDurableIn = std::function<bool(const messages::ReplicaGroup& group)>;
  using Learned = std::function<void(const messages::ConfigurationState& state, bool changed)>;

  // `learned` is called with each version known to be chosen, before the response to the operator.
  OperatorApi(NodeHost* host, RegisterService* registers, Learned learned, IsDurableIn is_durable_in);

  void Change(configuration::ChangeRequest::Method method, const ControlRequest& request, Respond respond);
  void Get(Respond respond);

 private:
  NodeHost* host_;
  RegisterService* registers_;
  Learned learned_;
  IsDurableIn is_durable_in_;
};

}  // namespace lichenlug::node
