// Collects the answers of replicas to one Prepare or Read.
//
// The value with the highest accepted ballot determines which replicas count: the answers are complete when
// they come from a quorum of the group contained in that value (of the founding group, if nothing is
// accepted). Safety therefore does not depend on which replicas were asked.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "consensus/value.h"

namespace lichenlug::consensus {

class Answers {
 public:
  // `empty_value`: the register's value before the first change, with the founding group.
  explicit Answers(ValuePointer empty_value) { best_.value = std::move(empty_value); }

  // `accepted.value` is null if the replica has accepted nothing.
  void Add(const std::string& replica_id, const AcceptedValue& accepted);

  // Whether the replica has reported a different value than the best one, or none.
  bool HasDifferentValue(const std::string& replica_id) const;
  const AcceptedValue& best() const { return best_; }  // round 0 if nothing is accepted
  bool IsComplete() const;
  bool IsChosen() const;  // a quorum of the group has accepted the same ballot

 private:
  std::map<std::string, messages::Ballot> accepted_;  // by replica
  AcceptedValue best_;
};

// Extracts the accepted value from a Promise or ReadReply; `known` is the value that the request declared as
// known. Returns none if the parts of the answer are inconsistent.
std::optional<AcceptedValue> ExtractAccepted(const std::string& register_name,
                                             const messages::Promise& promise, const AcceptedValue& known);
std::optional<AcceptedValue> ExtractAccepted(const std::string& register_name,
                                             const messages::ReadReply& reply, const AcceptedValue& known);

}  // namespace lichenlug::consensus
