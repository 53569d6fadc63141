#include "registry/homes.h"

#include <algorithm>
#include <tuple>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

constexpr std::size_t kMostHomes = 65536;  // services come and go; beyond this all are chosen anew

}  // namespace

Homes::Homes(std::string self_name, std::string zone) {
  self_.name = std::move(self_name);
  self_.zone = std::move(zone);
  dispatchers_ = {self_};
}

void Homes::SetMembers(Time now, const std::vector<Member>& live) {
  dispatchers_ = live;
  dispatchers_.push_back(self_);
  for (auto& [key, home] : homes_) {
    Home chosen = Choose(key.first, key.second);
    chosen.since = chosen.name == home.name ? home.since : now;
    home = std::move(chosen);
  }
}

const Home& Homes::HomeOf(Time now, const std::string& service, const std::string& zone) {
  if (homes_.size() >= kMostHomes) homes_.clear();
  const auto [place, added] = homes_.try_emplace({service, zone});
  if (added) {
    place->second = Choose(service, zone);
    place->second.since = now;
  }
  return place->second;
}

Home Homes::Choose(const std::string& service, const std::string& zone) const {
  const bool has_own = std::any_of(dispatchers_.begin(), dispatchers_.end(),
                                   [&](const Member& member) { return member.zone == zone; });
  const Member* best = nullptr;
  std::pair<std::uint64_t, std::string> best_rank;
  for (const Member& member : dispatchers_) {
    if (has_own && member.zone != zone) continue;
    std::pair<std::uint64_t, std::string> rank(HashOf({service, zone, member.name}), member.name);
    if (best != nullptr && rank <= best_rank) continue;
    best = &member;
    best_rank = std::move(rank);
  }
  return {best->name == self_.name, best->name, best->address, best->control_address, 0};
}

}  // namespace lichenlug::registry
