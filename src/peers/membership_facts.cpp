#include "peers/membership_facts.h"

#include <algorithm>
#include <map>

namespace lichenlug::membership {
namespace {

bool IsStronger(const Accuser& a, const Accuser& b) {
  return std::tuple(b.weight, a.number, a.zone) < std::tuple(a.weight, b.number, b.zone);
}

// Keeps the strongest accusers of each zone, and the zones of the strongest. Weights only grow, so an accuser
// that is dropped here would be dropped by any later join as well.
std::vector<Accuser> KeepStrongest(const std::vector<Accuser>& a, const std::vector<Accuser>& b) {
  std::map<std::pair<std::uint8_t, std::uint16_t>, Weight> all;
  for (const auto* some : {&a, &b})
    for (const Accuser& it : *some) {
      Weight& weight = all[{it.zone, it.number}];
      weight = std::max(weight, it.weight);
    }
  std::map<std::uint8_t, std::vector<Accuser>> zones;
  for (const auto& [key, weight] : all) zones[key.first].push_back({key.second, key.first, weight});
  std::vector<std::vector<Accuser>> ranked;
  for (auto& [zone, some] : zones) {
    std::ranges::sort(some, IsStronger);
    if (some.size() > Fact::kMaxPerZone) some.resize(Fact::kMaxPerZone);
    ranked.push_back(std::move(some));
  }
  std::ranges::sort(ranked, [](const auto& x, const auto& y) {
    return std::tuple(y[0].weight, x[0].zone) < std::tuple(x[0].weight, y[0].zone);
  });
  if (ranked.size() > Fact::kMaxZones) ranked.resize(Fact::kMaxZones);
  std::vector<Accuser> kept;
  for (const auto& some : ranked) kept.insert(kept.end(), some.begin(), some.end());
  std::ranges::sort(kept);
  return kept;
}

}  // namespace

bool Merge(Fact* known, const Fact& received) {
  if (received.Epoch() < known->Epoch()) return false;
  const Fact before = *known;
  if (received.Epoch() > known->Epoch()) *known = received;
  known->dead = known->dead || received.dead;
  known->zone = std::min(known->zone, received.zone);
  known->accusers = KeepStrongest(known->accusers, received.accusers);
  return *known != before;
}

bool Merge(BadLinks* known, const BadLinks& received) {
  const auto order = [](const BadLinks& it) { return std::tie(it.life, it.version, it.silent); };
  if (order(received) <= order(*known)) return false;
  *known = received;
  return true;
}

}  // namespace lichenlug::membership
