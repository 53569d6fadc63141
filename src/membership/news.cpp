#include "membership/news.h"

namespace lichenlug::membership_ring {

std::vector<std::string> News::TakeBurst(Time now) {
  std::vector<std::string> names;
  while (!pending_.empty() && names.size() < kMaxInMessage) {
    names.push_back(std::move(pending_.extract(pending_.begin()).value()));
  }
  last_burst_ = now;
  return names;
}

std::vector<std::string> News::Recent(Time now) {
  std::erase_if(recent_, [now](const auto& item) { return item.second <= now; });
  std::vector<std::string> names;
  for (const auto& [name, until] : recent_) {
    if (names.size() == kMaxInMessage) break;
    names.push_back(name);
  }
  return names;
}

}  // namespace lichenlug::membership_ring
