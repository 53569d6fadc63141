// The Accept of one proposal: to replicas that hold the value it was made from as a difference, to others
// whole. It outlives the operation, for replicas that say late that they lack that value.
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
  // `base`: the accepted value that was found. A payload of fewer than `min_delta_bytes` goes whole.
  OutgoingAccept(const std::string& register_name, const messages::Ballot& ballot,
                 const messages::RegisterValue& value, const AcceptedValue& base,
                 std::size_t min_delta_bytes);

  messages::Accept For(const std::string& replica_id) const;
  std::size_t BytesFor(const std::string& replica_id) const;  // of the payload

  void SendWholeTo(const std::string& replica_id) { whole_to_.insert(replica_id); }
  void SendWholeToAll() { delta_.reset(); }
  // A replica refused this ballot's Accept as it lacks the base. Whether it is to be sent the whole, which
  // it is once.
  bool LacksBase(const std::string& replica_id, const messages::Ballot& ballot);

  const AcceptedValue& accepted() const { return accepted_; }  // as a replica holds it that has accepted it

 private:
  bool TakesDelta(const std::string& replica_id) const;

  AcceptedValue accepted_;
  messages::Ballot base_;
  std::set<std::string> base_holders_;  // replicas of the base's group
  std::optional<messages::TextDelta> delta_;
  std::set<std::string> whole_to_;
};

}  // namespace lichenlug::consensus
