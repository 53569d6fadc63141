#include "registry/homes.h"

#include <algorithm>
#include <tuple>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

constexpr std::size_t kMaxHomes = 65536;  // bounds the cache as services come and go; cleared when full

// Removes the candidates that do not match, unless none matches.
template <typename Predicate>
void FilterUnlessNoneMatch(std::vector<const Homes::Candidate*>* candidates, Predicate matches) {
  const auto is_match = [&](const Homes::Candidate* candidate) { return matches(*candidate); };
  if (std::none_of(candidates->begin(), candidates->end(), is_match)) return;
  std::erase_if(*candidates, [&](const Homes::Candidate* candidate) { return !matches(*candidate); });
}

}  // namespace

Homes::Homes(Candidate self, bool prefers_quorum_members)
    : self_(std::move(self)), prefers_quorum_members_(prefers_quorum_members) {
  dispatchers_ = {self_};
}

void Homes::SetMembers(Time now, const std::vector<Member>& live) {
  dispatchers_.clear();
  for (const Member& member : live) dispatchers_.push_back({member, !member.control_address.empty()});
  dispatchers_.push_back(self_);
  for (auto& [key, home] : homes_) {
    Home chosen = Choose(key.first, key.second);
    chosen.since = chosen.name == home.name ? home.since : now;
    home = std::move(chosen);
  }
}

const Home& Homes::HomeOf(Time now, const std::string& service, const std::string& zone) {
  if (homes_.size() >= kMaxHomes) homes_.clear();
  const auto [entry, added] = homes_.try_emplace({service, zone});
  if (added) {
    entry->second = Choose(service, zone);
    entry->second.since = now;
  }
  return entry->second;
}

Home Homes::Choose(const std::string& service, const std::string& zone) const {
  std::vector<const Candidate*> eligible;
  for (const Candidate& candidate : dispatchers_) eligible.push_back(&candidate);
  FilterUnlessNoneMatch(&eligible, [](const Candidate& candidate) { return candidate.serves_control; });
  FilterUnlessNoneMatch(&eligible, [&](const Candidate& candidate) { return candidate.member.zone == zone; });
  if (prefers_quorum_members_)
    FilterUnlessNoneMatch(&eligible,
                          [](const Candidate& candidate) { return candidate.member.counts_for_quorum; });
  const auto rank = [&](const Candidate* candidate) {
    const std::string& name = candidate->member.name;
    return std::pair(HashOf({service, zone, name}), name);
  };
  const Candidate* best = *std::max_element(eligible.begin(), eligible.end(),
                                            [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  const Member& member = best->member;
  return {member.name == self_.member.name, member.name, member.address, member.control_address, 0};
}

}  // namespace lichenlug::registry
