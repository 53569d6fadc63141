#include "quarantine/table.h"

namespace lichenlug {

Ticket* Table::Find(const Fingerprint& job) {
  const auto it = tickets_.find(job);
  return it == tickets_.end() ? nullptr : &it->second;
}

const Ticket* Table::Find(const Fingerprint& job) const {
  const auto it = tickets_.find(job);
  return it == tickets_.end() ? nullptr : &it->second;
}

Ticket* Table::FindOrAdd(const Fingerprint& job, std::uint64_t tenant, Time now) {
  if (Ticket* known = Find(job)) return known;
  const auto count = tickets_per_tenant_.find(tenant);
  const bool full =
      tickets_.size() >= max_ || (count != tickets_per_tenant_.end() && count->second >= max_per_tenant_);
  if (full && !EvictSuspicion(tenant, now)) {
    ++untracked_;
    return nullptr;
  }
  ++tickets_per_tenant_[tenant];
  Ticket* made = &tickets_[job];
  made->tenant = tenant, made->changed_at = now;
  return made;
}

bool Table::EvictSuspicion(std::uint64_t tenant, Time now) {
  const Fingerprint* oldest = nullptr;
  Time since = 0;
  for (const auto& [job, ticket] : tickets_)
    if (ticket.tenant == tenant && (oldest == nullptr || ticket.changed_at < since) && ticket.Evictable(now))
      oldest = &job, since = ticket.changed_at;
  if (oldest == nullptr) return false;
  Erase(Fingerprint(*oldest));
  ++evicted_;
  return true;
}

void Table::Changed(const Fingerprint& job, Ticket* ticket, Time now) {
  std::uint32_t& leaf = leaves_[static_cast<std::size_t>(LeafOf(job))];
  leaf ^= ticket->digest;
  ticket->digest = DigestOf(job, *ticket);
  leaf ^= ticket->digest;
  ticket->changed_at = now;
}

void Table::Erase(const Fingerprint& job) {
  const auto it = tickets_.find(job);
  if (it == tickets_.end()) return;
  leaves_[static_cast<std::size_t>(LeafOf(job))] ^= it->second.digest;
  const auto count = tickets_per_tenant_.find(it->second.tenant);
  if (--count->second == 0) tickets_per_tenant_.erase(count);
  tickets_.erase(it);
}

void Table::Sweep(Time now) {
  auto it = tickets_.lower_bound(sweep_position_);
  for (int i = 0; i < kSweepBatch && it != tickets_.end(); ++i) {
    const auto next = std::next(it);
    if (it->second.Expired(now)) Erase(Fingerprint(it->first));
    it = next;
  }
  sweep_position_ = it == tickets_.end() ? Fingerprint{} : it->first;
}

std::uint32_t Table::GroupChecksum(int group) const {
  // Depends on the position in the group, so that equal changes of two leaves don't cancel out.
  std::uint32_t sum = 0;
  for (int i = 0; i < kLeavesOfGroup; ++i) sum = sum * 0x01000193u + LeafChecksum(group * kLeavesOfGroup + i);
  return sum;
}

}  // namespace lichenlug
