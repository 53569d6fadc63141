// Reads the newest configuration from its register when ConfigurationReader asks for it, and passes it on.
// Runs on the control plane's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "configuration/follower.h"
#include "node/configuration_reader.h"
#include "node/register_service.h"

namespace lichenlug::node {

class ConfigurationSource {
 public:
  // Called with the configuration that a majority confirmed. `push`: distribute it to all other dispatchers.
  using Learned = std::function<void(const messages::ConfigurationState& state, bool push)>;

  // `host`, `registers` and `follower` must outlive this object.
  ConfigurationSource(NodeHost* host, std::uint64_t seed, RegisterService* registers,
                      const configuration::Follower* follower, Learned learned)
      : host_(host),
        reader_(seed),
        registers_(registers),
        follower_(follower),
        learned_(std::move(learned)) {}

  // Another dispatcher asks the local replica to accept this payload.
  void OnAcceptRequest(Time now, const std::string& payload);
  // Registers can be read from now on.
  void RegistersKnown(Time now) { reader_.RegistersKnown(now); }
  // Confirmed: a majority confirmed a configuration, in answer to a read or an operator's call. Installed: a
  // configuration came into force on this dispatcher.
  void Confirmed() { reader_.Confirmed(); }
  void Installed() { reader_.Installed(); }

  // Starts a read if one is due. `has_replica`: whether this dispatcher's store votes.
  void ReadIfDue(Time now, bool has_replica);
  std::optional<Time> NextTimer() const { return reader_.NextTimer(); }
  bool confirmed() const { return reader_.confirmed(); }

 private:
  void Read(const consensus::Completion& completion, bool push);

  NodeHost* host_;
  ConfigurationReader reader_;
  RegisterService* registers_;
  const configuration::Follower* follower_;
  Learned learned_;
};

}  // namespace lichenlug::node
