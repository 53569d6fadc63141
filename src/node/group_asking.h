// Whom a dispatcher asks for the replica groups while it does not know for sure what was founded. Pure.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace lichenlug::node {

// Asks so many members at a time.
inline constexpr std::size_t kAskedForGroups = 3;

class GroupAsking {
 public:
  // Addresses to ask now, without this dispatcher's own. Those that keep a store know the groups, so all but
  // one of the questions go to them, in turn; the last goes to the next of all members, as those with a store
  // may be out of reach. Members without a store are asked alone only where none with one is known.
  std::vector<std::string> Next(const std::vector<Member>& live, const std::string& own_address);

 private:
  std::size_t store_turn_ = 0, any_turn_ = 0;
};

}  // namespace lichenlug::node
