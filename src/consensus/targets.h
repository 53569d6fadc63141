// The replicas contacted in one phase. Each gets a unique request number, so that an answer counts only for
// the replica, phase and address of its request.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

class Targets {
 public:
  enum class State {
    kPending,
    kAnswered,
    kPreempted,     // has promised a higher ballot
    kWrongReplica,  // the machine now has a different store
  };
  struct Target {
    messages::ReplicaIdentity replica;
    std::uint64_t request = 0;
    State state = State::kPending;
  };

  // Adds the members that are not targets yet; returns the indexes of the new ones.
  std::vector<std::size_t> Add(const std::vector<messages::ReplicaIdentity>& members,
                               std::uint64_t* last_request);

  // The target that this message answers; null if there is none.
  Target* Match(const std::string& from_address, const messages::RegisterMessage& message);

  const Target& at(std::size_t index) const { return targets_[index]; }
  std::size_t size() const { return targets_.size(); }
  // The target with this replica identity that has not answered yet; null if there is none.
  Target* FindPending(const std::string& replica_id);
  std::vector<std::size_t> Unanswered() const;  // neither answered nor refused
  bool AllAnswered() const { return Unanswered().empty(); }
  bool AnyPreempted() const;
  bool Has(const std::string& replica_id, State state) const;

 private:
  std::vector<Target> targets_;
};

}  // namespace lichenlug::consensus
