#include "quarantine/homes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace lichenlug {

void Homes::RecordCall(bool at_stake, Time now) {
  if (last_call_ != 0 && now - last_call_ > kPauseDetected) recovered_at_ = now + kPauseRecovery;
  last_call_ = at_stake ? now : 0;
}

bool Homes::SetView(const TierView& view, Time now) {
  own_ = view.own;
  std::vector<int> counted;
  for (const TierMember& member : view.members)
    if (TierView::Counts(member.status) || member.number == own_) counted.push_back(member.number);
  if (counted == counted_) return false;
  // The first view of a life is no handover, but other members may already run jobs that this dispatcher
  // doesn't know of yet.
  counted_ = std::move(counted), changed_ = now;
  return true;
}

int Homes::HomeOf(const Fingerprint& job) const {
  int home = own_;
  std::uint64_t highest = 0;
  for (const int member : counted_) {
    const std::uint64_t parts[] = {job.high, job.low, static_cast<std::uint64_t>(member)};
    const std::uint64_t rank = XXH3_64bits(parts, sizeof parts);
    if (rank >= highest) highest = rank, home = member;
  }
  return home;
}

void Homes::SetHome(const Fingerprint& job, Ticket* ticket, Time now) const {
  const int home = HomeOf(job);
  if (ticket->home == home) return;
  ticket->home_since = ticket->home < 0 ? changed_ : now;
  ticket->home = home;
}

bool Homes::MayAct(const Ticket& ticket, Time now) const {
  return ticket.home == own_ && now - ticket.home_since >= kTakeover && now >= recovered_at_;
}

}  // namespace lichenlug
