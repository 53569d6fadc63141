#include "routing/priority_scale.h"

#include <algorithm>
#include <cstddef>

#include "routing/router.h"

namespace lichenlug::routing {
namespace {

constexpr int kMaxPriority = PriorityScale::kLate - 1;
// Up to this many precedences get priorities two apart, starting at 1.
constexpr std::size_t kMaxSpacedPrecedences = 5;

}  // namespace

PriorityScale::PriorityScale(const messages::Configuration& configuration) {
  for (const messages::Route& route : configuration.routes()) {
    precedences_.push_back(CombinedPrecedence(nullptr, route));
    for (const messages::Tenant& tenant : configuration.tenants())
      precedences_.push_back(CombinedPrecedence(&tenant, route));
    std::ranges::sort(precedences_);
    precedences_.erase(std::unique(precedences_.begin(), precedences_.end()), precedences_.end());
  }
}

int PriorityScale::PriorityOf(int precedence) const {
  const auto rank =
      static_cast<std::size_t>(std::ranges::lower_bound(precedences_, precedence) - precedences_.begin());
  if (precedences_.size() <= kMaxSpacedPrecedences)
    return std::min(kMaxPriority, static_cast<int>(1 + 2 * rank));
  return std::min(kMaxPriority, static_cast<int>(rank * kMaxPriority / (precedences_.size() - 1)));
}

}  // namespace lichenlug::routing
