#include "membership/gossip.h"

namespace lichenlug::membership_ring {

std::vector<std::string> Gossip::TakeBurst(Time now) {
  std::vector<std::string> names;
  while (!pending_.empty() && names.size() < kMaxNamesPerMessage) {
    names.push_back(std::move(pending_.extract(pending_.begin()).value()));
  }
  last_burst_ = now;
  return names;
}

std::vector<std::string> Gossip::Recent(Time now) {
  std::erase_if(recent_, [now](const auto& item) { return item.second <= now; });
  std::vector<std::string> names;
  for (const auto& [name, until] : recent_) {
    if (names.size() == kMaxNamesPerMessage) break;
    names.push_back(name);
  }
  return names;
}

}  // namespace lichenlug::membership_ring
