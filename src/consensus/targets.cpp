#include "consensus/targets.h"

#include <algorithm>

namespace lichenlug::consensus {

std::vector<std::size_t> Targets::Add(const std::vector<messages::ReplicaIdentity>& members,
                                      std::uint64_t* last_request) {
  std::vector<std::size_t> added;
  for (const auto& member : members) {
    const bool known = std::any_of(targets_.begin(), targets_.end(), [&](const Target& target) {
      return target.replica.replica_id() == member.replica_id() &&
             target.replica.address() == member.address();
    });
    if (known) continue;
    added.push_back(targets_.size());
    targets_.push_back({member, ++*last_request, State::kPending});
  }
  return added;
}

Targets::Target* Targets::Match(const std::string& from_address, const messages::RegisterMessage& message) {
  for (auto& target : targets_) {
    if (target.request != message.operation() || target.replica.address() != from_address) continue;
    // A node that no longer has the requested store answers under its current identity, with Refused only.
    const bool wrong_replica_refusal = message.has_refused() && message.refused().wrong_replica();
    return wrong_replica_refusal || target.replica.replica_id() == message.replica_id() ? &target : nullptr;
  }
  return nullptr;
}

Targets::Target* Targets::FindPending(const std::string& replica_id) {
  const auto found = std::find_if(targets_.begin(), targets_.end(), [&](const Target& target) {
    return target.state == State::kPending && target.replica.replica_id() == replica_id;
  });
  return found != targets_.end() ? &*found : nullptr;
}

std::vector<std::size_t> Targets::Unanswered() const {
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].state == State::kPending) indexes.push_back(i);
  }
  return indexes;
}

bool Targets::AnyPreempted() const {
  return std::any_of(targets_.begin(), targets_.end(),
                     [](const Target& target) { return target.state == State::kPreempted; });
}

bool Targets::Has(const std::string& replica_id, State state) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const Target& target) {
    return target.state == state && target.replica.replica_id() == replica_id;
  });
}

}  // namespace lichenlug::consensus
