// Brings the newest configuration out of its register to the follower: reads it as ConfigurationReader says,
// on the control plane's thread.
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
  // Called with what a majority told. `push`: all others are to be told too.
  using Learned = std::function<void(const messages::ConfigurationState& state, bool push)>;

  // `host`, `registers` and `follower` outlive it.
  ConfigurationSource(NodeHost* host, std::uint64_t seed, RegisterService* registers,
                      const configuration::Follower* follower, Learned learned)
      : host_(host),
        reader_(seed),
        registers_(registers),
        follower_(follower),
        learned_(std::move(learned)) {}

  // Another dispatcher asks the replica here to accept this payload.
  void Proposed(Time now, const std::string& payload);
  // Registers can be read from now on.
  void RegistersKnown(Time now) { reader_.RegistersKnown(now); }
  // A majority told a configuration, to a read or an operator's call; one came into force here.
  void Confirmed() { reader_.Confirmed(); }
  void Installed() { reader_.Installed(); }

  // Begins the read that is due. `has_replica`: this dispatcher's store votes.
  void ReadInTime(Time now, bool has_replica);
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
