// Whom to call beside the monitors: seeds that are no live members, and members that died of late. So both
// sides of a cut find each other when it heals, even if all seeds are down.
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

  Time next_seed_call() const { return next_seed_call_; }
  // The seeds to call now, if a call is due.
  std::vector<std::string> SeedsToCall(Time now);
  // The address of a dead member to call now, or empty. To be asked once a heartbeat period.
  std::string DeadToCall(Time now);

 private:
  Time LongestSeedInterval() const;

  const MemberTable& table_;
  Random& random_;
  std::vector<std::string> seeds_;
  Time next_seed_call_ = 0;
  Time seed_interval_ = 0;
  Time next_dead_call_ = 0;
  std::string last_dead_;
};

}  // namespace lichenlug::membership_ring
