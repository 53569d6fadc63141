#include "duties/candidates.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "duties/agreed_order.h"

namespace lichenlug::duties {
namespace {

constexpr std::uint64_t kMinBetweenIncarnations = 100 * kMillisecond;

// A process uses its start time in microseconds as its incarnation, and increments it each time it refutes a
// suspicion. Incarnations that are close together therefore belong to the same process.
bool IsSameProcess(std::uint64_t left, std::uint64_t right) {
  return std::max(left, right) - std::min(left, right) < kMinBetweenIncarnations;
}

}  // namespace

Candidates::Candidates(std::string register_name, std::string self_name)
    : register_name_(std::move(register_name)), self_name_(std::move(self_name)) {}

void Candidates::SetMembers(const std::vector<Member>& live) {
  live_ = live;
  order_ = AgreedOrder(register_name_, live);
  for (const Member& member : live) {
    std::uint64_t& latest = incarnations_[member.name];
    const bool is_restarted =
        latest != 0 && member.incarnation > latest && !IsSameProcess(member.incarnation, latest);
    if (is_restarted) ended_incarnations_[member.name] = latest;
    latest = std::max(latest, member.incarnation);
  }
}

bool Candidates::IsServing(const Holder& owner) const {
  return std::any_of(live_.begin(), live_.end(), [&owner](const Member& member) {
    return member.name == owner.name && IsSameProcess(member.incarnation, owner.incarnation) && member.ready;
  });
}

bool Candidates::HasEnded(const Holder& owner) const {
  const auto ended = ended_incarnations_.find(owner.name);
  return ended != ended_incarnations_.end() && owner.incarnation <= ended->second;
}

std::optional<int> Candidates::Position(const Holder& owner) const {
  int position = 0;
  for (const Member& member : order_) {
    if (member.name == self_name_) return position;
    if (member.name != owner.name) ++position;
  }
  return std::nullopt;
}

}  // namespace lichenlug::duties
