// Decides when the replica groups of the registers are changed, and to which members. A state machine.
//
// Only one dispatcher changes groups: the first live member with a store, by name, provided that it sees a
// majority of the group. After a simultaneous start of all dispatchers each process sees only itself for a
// moment; the majority condition keeps it from changing groups then, and for a few seconds more it does not
// treat absent members as gone. A failed change is retried after an exponential backoff, with a longer
// timeout.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"
#include "messages/generated/consensus.pb.h"
#include "node/group_planner.h"

namespace lichenlug::node {

// An absent member counts as gone once a majority of the group has been visible for this long without
// interruption: by then all other members have started and are known here.
inline constexpr Time kFullStartDuration = 4 * kSecond;

struct GroupMove {
  std::string register_name;
  std::vector<messages::ReplicaIdentity> members;  // of the new group
  std::uint64_t if_version = 0;                    // apply only if the group still has this version
  Time deadline = 0;
};

class GroupMover {
 public:
  GroupMover(std::string self_name, int tolerated, std::uint64_t seed)
      : self_name_(std::move(self_name)), tolerated_(tolerated), random_(seed) {}

  // Call several times a second for each register, with its group as known here and all live members,
  // including this one. Returns the change to start now, if any; it is in flight until Completed() is called.
  // `may_change`: whether this dispatcher has a store and is not leaving.
  std::optional<GroupMove> Next(Time now, const std::string& register_name,
                                const messages::ReplicaGroup& present, const std::vector<Member>& live,
                                bool may_change);
  // How to treat the absent members of that register's group, according to the calls of Next() so far.
  AbsentMembers AbsentMembersOf(Time now, const std::string& register_name) const;
  // `settled`: the change was applied, or is no longer wanted.
  void Completed(Time now, const std::string& register_name, bool settled);

 private:
  struct RegisterState {
    std::optional<Time> majority_seen_since;
    Time last_observed_at = 0;  // the last call of Next()
    bool in_flight = false;
    int failures = 0;  // consecutive
    Time not_before = 0;
  };

  static void ObserveMajority(Time now, const messages::ReplicaGroup& present,
                              const std::vector<Member>& live, RegisterState* state);

  std::string self_name_;
  int tolerated_;
  std::mt19937_64 random_;
  std::map<std::string, RegisterState> registers_;
};

}  // namespace lichenlug::node
