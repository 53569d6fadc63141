#include "membership/contacts.h"

#include <algorithm>

namespace lichenlug::membership_ring {
namespace {

constexpr std::size_t kMaxSeeds = 16;
constexpr Time kInitialSeedInterval = 200 * kMillisecond;
constexpr Time kSeedInterval = 2 * kSecond;
constexpr Time kDeadContactInterval = kSecond;
constexpr Time kOldDeadContactInterval = 5 * kSecond;
constexpr Time kOldDeadAfter = 120 * kSecond;
// Approximate limit of the rate at which all members together contact one unresponsive address.
constexpr Time kMaxContactsPerSecond = 20;

}  // namespace

void Contacts::SetSeeds(std::vector<std::string> addresses) {
  if (addresses.size() > kMaxSeeds) addresses.resize(kMaxSeeds);
  seeds_ = std::move(addresses);
  seed_interval_ = kInitialSeedInterval;
}

void Contacts::Start(Time now) {
  next_seed_contact_ = now;
  seed_interval_ = kInitialSeedInterval;
}

Time Contacts::MaxSeedInterval() const {
  return std::max(kSeedInterval, static_cast<Time>(table_.live_count()) * kSecond / kMaxContactsPerSecond);
}

std::vector<std::string> Contacts::SeedsToContact(Time now) {
  if (now < next_seed_contact_) return {};
  std::vector<std::string> called;
  for (const std::string& address : seeds_) {
    if (!table_.IsLiveAddress(address)) called.push_back(address);
  }
  const Time jitter = static_cast<Time>(random_.Below(static_cast<std::uint64_t>(seed_interval_ / 4 + 1)));
  next_seed_contact_ = now + seed_interval_ + jitter;
  seed_interval_ = std::min(seed_interval_ * 3 / 2, MaxSeedInterval());
  return called;
}

std::string Contacts::DeadMemberToContact(Time now) {
  const auto& dead = table_.dead();
  if (dead.empty() || now < next_dead_contact_) return {};
  auto next = dead.upper_bound(last_dead_);
  if (next == dead.end()) next = dead.begin();
  last_dead_ = *next;
  const Entry& entry = *table_.Find(last_dead_);
  const bool old = now - entry.dead_since > kOldDeadAfter;
  const Time shared_interval =
      static_cast<Time>(table_.live_count() / dead.size()) * kSecond / kMaxContactsPerSecond;
  const Time interval = std::max(old ? kOldDeadContactInterval : kDeadContactInterval, shared_interval);
  next_dead_contact_ =
      now + interval * 3 / 4 + static_cast<Time>(random_.Below(static_cast<std::uint64_t>(interval / 2)));
  const std::string& address = entry.record.address();
  return table_.IsLiveAddress(address) ? std::string() : address;
}

}  // namespace lichenlug::membership_ring
