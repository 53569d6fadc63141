#include "node/group_asking.h"

#include <algorithm>

namespace lichenlug::node {

namespace {

using Addresses = std::vector<std::string>;

void Take(const Addresses& from, std::size_t count, std::size_t* turn, Addresses* taken) {
  for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
    const std::string& address = from[(*turn)++ % from.size()];
    if (std::find(taken->begin(), taken->end(), address) == taken->end()) taken->push_back(address);
  }
}

}  // namespace

std::vector<std::string> GroupAsking::Next(const std::vector<Member>& live, const std::string& own_address) {
  Addresses with_store, all;
  for (const Member& member : live) {
    if (member.address == own_address) continue;
    all.push_back(member.address);
    if (!member.replica_id.empty()) with_store.push_back(member.address);
  }
  Addresses asked;
  Take(with_store, kAskedForGroups - 1, &store_turn_, &asked);
  Take(all, kAskedForGroups - asked.size(), &any_turn_, &asked);
  return asked;
}

}  // namespace lichenlug::node
