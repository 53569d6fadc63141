#include "configuration/push_schedule.h"

#include <algorithm>

namespace lichenlug::configuration {
namespace {

constexpr Time kRepeatAfter = 150 * kMillisecond;
constexpr std::size_t kMaxTries = 5;  // after these, polls bring what is missing

}  // namespace

void PushSchedule::Begin(std::uint64_t revision) {
  revision_ = revision;
  pushes_.clear();
}

void PushSchedule::AddDirect(Time now, const std::string& address) {
  pushes_.push_back({"", {address}, 0, now});
}

void PushSchedule::AddZone(Time now, const std::string& zone) { pushes_.push_back({zone, {}, 0, now}); }

std::vector<PushSchedule::Due> PushSchedule::TakeDue(Time now, const Peers& peers, Time transfer) {
  std::erase_if(pushes_, [&](const Push& push) { return push.next_at <= now && push.tries >= kMaxTries; });
  std::vector<Due> due;
  std::vector<Push*> sent;
  for (Push& push : pushes_) {
    if (push.next_at > now) continue;
    const bool relay = !push.zone.empty();
    if (relay) push.addresses.push_back(peers.Relay(push.zone, revision_, push.tries));
    ++push.tries;
    sent.push_back(&push);
    if (peers.Contains(push.addresses.back())) due.push_back({push.addresses.back(), relay});
  }
  // All of them leave on the same link, so each repeat waits for all.
  const Time pause = kRepeatAfter + transfer * static_cast<Time>(due.size());
  for (Push* push : sent) push->next_at = now + pause;
  return due;
}

void PushSchedule::Acknowledge(std::string_view address) {
  std::erase_if(pushes_, [&](const Push& push) {
    return std::find(push.addresses.begin(), push.addresses.end(), address) != push.addresses.end();
  });
}

bool PushSchedule::UnderWay(Time now, std::string_view address) const {
  return std::any_of(pushes_.begin(), pushes_.end(), [&](const Push& push) {
    return push.tries > 0 && push.next_at > now && push.addresses.back() == address;
  });
}

std::optional<Time> PushSchedule::NextTimer() const {
  std::optional<Time> next;
  for (const Push& push : pushes_) next = std::min(next.value_or(push.next_at), push.next_at);
  return next;
}

}  // namespace lichenlug::configuration
