// The Accept of one proposal. Replicas that have the base value receive a delta, others the full value. The
// object outlives the operation, because replicas may report late that they lack the base.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "consensus/value.h"

namespace lichenlug::consensus {

class OutgoingAccept {
 public:
  OutgoingAccept() = default;
  // `base`: the accepted value that was found. Payloads shorter than `min_delta_bytes` are sent in full.
  OutgoingAccept(const std::string& register_name, const messages::Ballot& ballot,
                 const messages::RegisterValue& value, const AcceptedValue& base,
                 std::size_t min_delta_bytes);

  messages::Accept MessageFor(const std::string& replica_id) const;
  std::size_t PayloadBytesFor(const std::string& replica_id) const;  // on the wire: full payload or delta

  void SendFullValueTo(const std::string& replica_id) { full_value_replicas_.insert(replica_id); }
  void SendFullValueToAll() { delta_.reset(); }
  // Handles a refusal of this ballot's Accept because the replica lacks the base. Returns whether the full
  // value must be sent; true at most once per replica.
  bool HandleMissingBase(const std::string& replica_id, const messages::Ballot& ballot);

  const AcceptedValue& accepted() const { return accepted_; }  // as stored by a replica that accepts it

 private:
  bool UsesDelta(const std::string& replica_id) const;

  AcceptedValue accepted_;
  messages::Ballot base_;
  std::set<std::string> base_holders_;  // members of the base value's group
  std::optional<messages::TextDelta> delta_;
  std::set<std::string> full_value_replicas_;
};

}  // namespace lichenlug::consensus
