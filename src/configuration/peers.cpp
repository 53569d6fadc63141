#include "configuration/peers.h"

#include <algorithm>

#include "configuration/digest.h"

namespace lichenlug::configuration {

void Peers::Set(const std::vector<Member>& live) {
  const bool first = live_.empty();
  live_ = live;
  std::sort(live_.begin(), live_.end(), [](const Member& a, const Member& b) { return a.name < b.name; });
  all_.clear();
  quorum_.clear();
  for (const Member& member : live_) {
    all_.push_back(member.address);
    if (member.counts_for_quorum) quorum_.push_back(member.address);
  }
  if (first && !live_.empty()) {  // so that the dispatchers don't all poll the same one at once
    next_index_ = RandomBelow(all_.size());
    quorum_next_index_ = quorum_.empty() ? 0 : RandomBelow(quorum_.size());
  }
}

std::vector<std::string> Peers::Zones() const {
  std::vector<std::string> zones;
  for (const Member& member : live_) zones.push_back(member.zone);
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

std::vector<std::string> Peers::AddressesIn(std::string_view zone) const {
  std::vector<std::string> addresses;
  for (const Member& member : live_) {
    if (member.zone == zone) addresses.push_back(member.address);
  }
  return addresses;
}

std::string Peers::SelectRelay(std::string_view zone, std::uint64_t revision, std::size_t attempt) const {
  std::vector<std::pair<std::uint64_t, const Member*>> order;
  for (const Member& member : live_) {
    if (member.zone != zone) continue;
    order.emplace_back(Digester().Number(revision).Text(member.name).Result(), &member);
  }
  if (order.empty()) return {};
  std::sort(order.begin(), order.end());
  return order[attempt % order.size()].second->address;
}

bool Peers::Contains(std::string_view address) const {
  return std::find(all_.begin(), all_.end(), address) != all_.end();
}

std::string Peers::NextToPoll() {
  const bool quorum = poll_quorum_next_ && !quorum_.empty();
  poll_quorum_next_ = !poll_quorum_next_;
  return quorum ? NextInRotation(quorum_, &quorum_next_index_) : NextInRotation(all_, &next_index_);
}

std::uint64_t Peers::RandomBelow(std::uint64_t bound) { return random_() % bound; }

std::string Peers::NextInRotation(const std::vector<std::string>& addresses, std::size_t* index) {
  if (addresses.empty()) return {};
  return addresses[(*index)++ % addresses.size()];
}

}  // namespace lichenlug::configuration
