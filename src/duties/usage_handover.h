// Counts of dispatchers' ended lives, brought to stores that begin anew. A living dispatcher repeats all of
// its counts to every store; those of a life that has ended are held by others alone (the stores, and two
// without a store), and would be gone once each of these has been restarted. Pure.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/member.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

class UsageHandover {
 public:
  // The addresses of members with a store that are new, or in a new life; not `self_name`'s.
  std::vector<std::string> NewStores(const std::vector<Member>& live, const std::string& self_name);

 private:
  std::set<std::pair<std::string, std::uint64_t>> known_;  // name and incarnation
};

// Whom a dispatcher tells its counts: every member with a store; one that has a store itself also tells two
// without, so that its counts outlast a loss of power of all stores at once.
std::vector<std::string> UsageReceivers(const std::vector<Member>& live, const std::string& self_name,
                                        bool has_store);

// Those of lives that no live member has.
std::vector<messages::UsageReport> OfEndedLives(std::vector<messages::UsageReport> reports,
                                                const std::vector<Member>& live);

}  // namespace lichenlug::duties
