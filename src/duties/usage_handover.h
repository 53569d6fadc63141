// Hands the usage counts of ended dispatcher processes to stores that have restarted. A live dispatcher sends
// all of its counts to every store repeatedly; those of an ended process exist only on others (the stores,
// and two members without a store), and would be lost once each of these had restarted. Does no I/O.
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
  // The addresses of members with a store that are new or have restarted, except `self_name`.
  std::vector<std::string> NewStores(const std::vector<Member>& live, const std::string& self_name);

 private:
  std::set<std::pair<std::string, std::uint64_t>> known_;  // name and incarnation
};

// The members to which a dispatcher sends its counts: every member with a store. A dispatcher with a store
// also sends them to two members without one, so that its counts survive a simultaneous power loss of all
// stores.
std::vector<std::string> UsageReceivers(const std::vector<Member>& live, const std::string& self_name,
                                        bool has_store);

// The reports of processes that are no longer live.
std::vector<messages::UsageReport> ReportsOfEndedProcesses(std::vector<messages::UsageReport> reports,
                                                           const std::vector<Member>& live);

}  // namespace lichenlug::duties
