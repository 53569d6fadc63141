// Background scrub (anti-entropy) of a replica: compares one register at a time with one other replica of its
// group. The replica whose accepted ballot is lower receives the other's value.
#pragma once

#include <optional>
#include <random>
#include <string>

#include "consensus/replica.h"

namespace lichenlug::consensus {

class Scrubber {
 public:
  Scrubber(std::string proposer, std::string replica_id, Time interval, Replica* replica);

  void Tick(Time now, std::uint64_t* last_request, std::mt19937_64* random, RegisterOutput* output);
  // Returns true if the message answers a Read of the scrub.
  bool Receive(const std::string& from_address, const messages::RegisterMessage& message,
               RegisterOutput* output);
  std::optional<Time> NextTimer() const;

 private:
  void SendRead(const std::string& register_name, std::uint64_t* last_request, std::mt19937_64* random,
                RegisterOutput* output);

  std::string proposer_;
  std::string replica_id_;
  Time interval_;
  Replica* replica_;
  Time next_ = 0;  // 0 until the first Tick
  std::string last_register_;
  std::string compared_register_;
  messages::ReplicaIdentity compared_replica_;
  std::uint64_t request_ = 0;  // 0: no comparison in progress
};

}  // namespace lichenlug::consensus
