#include "membership/anti_entropy.h"

#include <algorithm>

namespace lichenlug::membership_ring {
namespace {

constexpr Time kDigestInterval = 500 * kMillisecond;
constexpr std::size_t kJoinSampleSize = 32;

}  // namespace

bool AntiEntropy::SpendBudget(Time now, std::size_t records) {
  const double earned = static_cast<double>(now - budget_updated_at_) / kSecond * kBudgetPerSecond;
  budget_ = std::min(kMaxBudget, budget_ + earned);
  budget_updated_at_ = now;
  // A table larger than the burst is sent when the budget is full.
  if (budget_ < std::min(kMaxBudget, static_cast<double>(records))) return false;
  budget_ -= static_cast<double>(records);
  return true;
}

void AntiEntropy::AddHashes(messages::MembershipTable* table) const {
  for (const std::uint64_t hash : table_.bucket_hashes()) table->add_bucket_hashes(hash);
}

std::optional<messages::MembershipTable> AntiEntropy::OnHashMismatch(Time now) {
  if (now < next_digest_) return std::nullopt;
  next_digest_ = now + kDigestInterval;
  messages::MembershipTable digest;
  AddHashes(&digest);
  return digest;
}

messages::MembershipTable AntiEntropy::ReplyToJoin(Time now) {
  messages::MembershipTable answer;
  answer.set_reply(true);
  if (SpendBudget(now, table_.entries().size())) {
    for (const auto& [name, entry] : table_.entries()) *answer.add_members() = entry.record;
    AddHashes(&answer);
    return answer;
  }
  *answer.add_members() = table_.self();
  for (std::size_t i = 0; i < kJoinSampleSize && table_.live_count() > 0; ++i) {
    *answer.add_members() = table_.Find(table_.LiveAt(random_.Below(table_.live_count())))->record;
  }
  return answer;
}

std::optional<messages::MembershipTable> AntiEntropy::ReplyToTable(Time now,
                                                                   const messages::MembershipTable& table) {
  if (table.bucket_hashes_size() != static_cast<int>(kBuckets)) return std::nullopt;
  messages::MembershipTable answer;
  answer.set_reply(true);
  for (const auto& [name, entry] : table_.entries()) {
    const std::size_t bucket = MemberTable::BucketOf(name);
    if (table_.bucket_hashes()[bucket] != table.bucket_hashes(static_cast<int>(bucket))) {
      *answer.add_members() = entry.record;
    }
  }
  if (answer.members_size() == 0 && table.reply()) return std::nullopt;
  if (!SpendBudget(now, static_cast<std::size_t>(answer.members_size()))) return std::nullopt;
  if (!table.reply()) AddHashes(&answer);
  return answer;
}

}  // namespace lichenlug::membership_ring
