// Addresses to contact besides the monitors: seeds that are not live members, and members declared dead.
// After a network partition heals, both sides find each other this way, even if all seeds are down.
#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/member_table.h"
#include "membership/random.h"

namespace lichenlug::membership_ring {

class Contacts {
 public:
  Contacts(const MemberTable* table, Random* random) : table_(*table), random_(*random) {}

  void SetSeeds(std::vector<std::string> addresses);
  void Start(Time now);

  Time next_seed_contact() const { return next_seed_contact_; }
  // The seeds to contact now; empty if none is due.
  std::vector<std::string> SeedsToContact(Time now);
  // The address of a dead member to contact now, or empty. Called once per heartbeat period.
  std::string DeadMemberToContact(Time now);

 private:
  Time MaxSeedInterval() const;

  const MemberTable& table_;
  Random& random_;
  std::vector<std::string> seeds_;
  Time next_seed_contact_ = 0;
  Time seed_interval_ = 0;
  Time next_dead_contact_ = 0;
  std::string last_dead_;
};

}  // namespace lichenlug::membership_ring
