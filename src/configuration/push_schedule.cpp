#include "configuration/push_schedule.h"

#include <algorithm>
#include <utility>

namespace lichenlug::configuration {
namespace {

constexpr Time kRetryDelay = 150 * kMillisecond;
constexpr std::size_t kMaxAttempts = 5;  // afterwards, polls deliver the version
constexpr std::size_t kFanOut = 4;
constexpr Time kMaxDirectTransferTime = 200 * kMillisecond;  // of one slow link, for a whole zone

}  // namespace

void PushSchedule::Begin(std::uint64_t revision) {
  revision_ = revision;
  pushes_.clear();
  added_.clear();
}

void PushSchedule::AddZone(Time now, const std::string& zone) { pushes_.push_back({zone, {}, {}, 0, now}); }

void PushSchedule::AddAll(Time now, const std::vector<std::string>& addresses, Time transfer) {
  std::vector<std::string> new_addresses;
  for (const std::string& address : addresses) {
    if (added_.insert(address).second) new_addresses.push_back(address);
  }
  const bool push_directly = transfer * static_cast<Time>(new_addresses.size()) <= kMaxDirectTransferTime;
  const std::size_t groups = push_directly ? new_addresses.size() : std::min(kFanOut, new_addresses.size());
  for (std::size_t first = 0; first < groups; ++first) {
    std::vector<std::string> group;
    for (std::size_t i = first; i < new_addresses.size(); i += groups) group.push_back(new_addresses[i]);
    AddGroup(now, std::move(group));
  }
}

void PushSchedule::AddGroup(Time now, std::vector<std::string> group) {
  pushes_.push_back({"", std::move(group), {}, 0, now});
}

// Each attempt goes to another dispatcher, because the previous one may be dead.
std::optional<PushSchedule::Due> PushSchedule::NextDue(const Push& push, const Peers& peers) const {
  if (!push.zone.empty()) {
    const std::string address = peers.SelectRelay(push.zone, revision_, push.attempts);
    if (!peers.Contains(address)) return std::nullopt;
    return Due{address, true, {}};
  }
  std::vector<std::string> live;
  std::copy_if(push.group.begin(), push.group.end(), std::back_inserter(live),
               [&](const std::string& address) { return peers.Contains(address); });
  if (live.empty()) return std::nullopt;
  std::rotate(live.begin(), live.begin() + static_cast<std::ptrdiff_t>(push.attempts % live.size()),
              live.end());
  return Due{live.front(), false, {live.begin() + 1, live.end()}};
}

std::vector<PushSchedule::Due> PushSchedule::TakeDue(Time now, const Peers& peers, Time transfer) {
  std::erase_if(pushes_,
                [&](const Push& push) { return push.next_at <= now && push.attempts >= kMaxAttempts; });
  std::vector<Due> due;
  std::vector<Push*> sent;
  for (Push& push : pushes_) {
    if (push.next_at > now) continue;
    sent.push_back(&push);
    if (auto next = NextDue(push, peers)) {
      push.sent_to.push_back(next->address);
      due.push_back(std::move(*next));
    }
    ++push.attempts;
  }
  // All pushes share one outgoing link, so each retry waits for the transfer of all of them.
  const Time pause = kRetryDelay + transfer * static_cast<Time>(due.size());
  for (Push* push : sent) push->next_at = now + pause;
  return due;
}

void PushSchedule::Acknowledge(std::string_view address) {
  std::erase_if(pushes_, [&](const Push& push) {
    return std::find(push.sent_to.begin(), push.sent_to.end(), address) != push.sent_to.end();
  });
}

bool PushSchedule::InFlight(Time now, std::string_view address) const {
  return std::any_of(pushes_.begin(), pushes_.end(), [&](const Push& push) {
    return !push.sent_to.empty() && push.next_at > now && push.sent_to.back() == address;
  });
}

std::optional<Time> PushSchedule::NextTimer() const {
  std::optional<Time> next;
  for (const Push& push : pushes_) next = std::min(next.value_or(push.next_at), push.next_at);
  return next;
}

}  // namespace lichenlug::configuration
