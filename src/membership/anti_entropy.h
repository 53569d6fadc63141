// Anti-entropy: repairs updates that gossip did not deliver. Two members whose table hashes differ compare
// the hashes of 64 buckets and exchange the records of the buckets that differ, limited in rate and volume.
#pragma once

#include <optional>

#include "base/clock.h"
#include "membership/member_table.h"
#include "membership/random.h"
#include "messages/generated/membership.pb.h"

namespace lichenlug::membership_ring {

class AntiEntropy {
 public:
  AntiEntropy(const MemberTable* table, Random* random) : table_(*table), random_(*random) {}

  // A heartbeat had a different table hash: the digest to send back, unless one was sent recently.
  std::optional<messages::MembershipTable> OnHashMismatch(Time now);
  // The reply to a join: the whole table, or a random sample if the record budget is used up.
  messages::MembershipTable ReplyToJoin(Time now);
  // The reply to a received table, after its records were merged.
  std::optional<messages::MembershipTable> ReplyToTable(Time now, const messages::MembershipTable& table);

 private:
  static constexpr double kMaxBudget = 4000, kBudgetPerSecond = 1000;  // records

  bool SpendBudget(Time now, std::size_t records);
  void AddHashes(messages::MembershipTable* table) const;

  const MemberTable& table_;
  Random& random_;
  Time next_digest_ = 0;
  Time budget_updated_at_ = 0;  // when the budget was last replenished
  double budget_ = kMaxBudget;  // token bucket of records
};

}  // namespace lichenlug::membership_ring
