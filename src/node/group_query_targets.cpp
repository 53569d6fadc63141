#include "node/group_query_targets.h"

#include <algorithm>

namespace lichenlug::node {

namespace {

using Addresses = std::vector<std::string>;

void AppendRoundRobin(const Addresses& from, std::size_t count, std::size_t* position, Addresses* addresses) {
  for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
    const std::string& address = from[(*position)++ % from.size()];
    if (std::find(addresses->begin(), addresses->end(), address) == addresses->end())
      addresses->push_back(address);
  }
}

}  // namespace

std::vector<std::string> GroupQueryTargets::Next(const std::vector<Member>& live,
                                                 const std::string& own_address) {
  Addresses with_store, all;
  for (const Member& member : live) {
    if (member.address == own_address) continue;
    all.push_back(member.address);
    if (!member.replica_id.empty()) with_store.push_back(member.address);
  }
  Addresses targets;
  AppendRoundRobin(with_store, kMaxGroupQueries - 1, &next_store_, &targets);
  AppendRoundRobin(all, kMaxGroupQueries - targets.size(), &next_member_, &targets);
  return targets;
}

}  // namespace lichenlug::node
