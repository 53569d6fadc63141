// Repairs what the news did not bring: two members whose hashes differ compare the hashes of 64 buckets and
// exchange the records of those that differ. Bounded in how often and how much.
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

  // A heartbeat told another hash: what to send to its sender, if it is time for it again.
  std::optional<messages::MembershipTable> OnOtherHash(Time now);
  // The answer to a join: the whole table, or a sample if too much was sent of late.
  messages::MembershipTable AnswerJoin(Time now);
  // The answer to a table, after its records were taken over.
  std::optional<messages::MembershipTable> Answer(Time now, const messages::MembershipTable& table);

 private:
  static constexpr double kBurst = 4000, kPerSecond = 1000;  // records

  bool Spend(Time now, std::size_t records);
  void AddHashes(messages::MembershipTable* table) const;

  const MemberTable& table_;
  Random& random_;
  Time next_digest_ = 0;
  Time budget_at_ = 0;      // when the budget was reckoned last
  double budget_ = kBurst;  // records that may be sent now
};

}  // namespace lichenlug::membership_ring
