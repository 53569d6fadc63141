// Ballots are ordered by round, then by proposer. Round 0 means "no ballot".
#pragma once

#include <tuple>

#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

inline bool IsNone(const messages::Ballot& ballot) { return ballot.round() == 0; }

inline bool Less(const messages::Ballot& left, const messages::Ballot& right) {
  return std::forward_as_tuple(left.round(), left.proposer()) <
         std::forward_as_tuple(right.round(), right.proposer());
}

inline bool Equal(const messages::Ballot& left, const messages::Ballot& right) {
  return left.round() == right.round() && left.proposer() == right.proposer();
}

}  // namespace lichenlug::consensus
