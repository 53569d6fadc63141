// Selects the members that a dispatcher queries for the replica groups until the founding group is confirmed.
// No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace lichenlug::node {

// The number of members queried at a time.
inline constexpr std::size_t kMaxGroupQueries = 3;

class GroupQueryTargets {
 public:
  // The addresses to query now, excluding this dispatcher's own. Members with a store know the groups, so all
  // but one of the queries go to them, round robin; the last one goes to the next of all members, because
  // those with a store may be unreachable. If no member with a store is known, all queries go to members
  // without one.
  std::vector<std::string> Next(const std::vector<Member>& live, const std::string& own_address);

 private:
  std::size_t next_store_ = 0, next_member_ = 0;
};

}  // namespace lichenlug::node
