// When the replica groups of the registers are changed, and to what. A state machine.
//
// One dispatcher does it: the first live member with a store, by name, of those that see a majority of the
// group. After a start of all each process sees itself alone for a moment; it neither takes itself for that
// dispatcher then, nor for some seconds takes the absent for gone. A change that fails is tried again after a
// pause that grows, with more time to end in.
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

// An absent member counts as gone once a majority of the group has been seen for so long without a break: all
// others have started by then, and have been heard of.
inline constexpr Time kStartOfAllTakes = 4 * kSecond;

struct GroupMove {
  std::string register_name;
  std::vector<messages::ReplicaIdentity> members;  // wanted
  std::uint64_t if_version = 0;                    // only from this version of the group
  Time deadline = 0;
};

class GroupMover {
 public:
  GroupMover(std::string self_name, int tolerated, std::uint64_t seed)
      : self_name_(std::move(self_name)), tolerated_(tolerated), random_(seed) {}

  // To be called several times a second for each register, with its group as known here and all live members,
  // this one included. The change to begin now, if any; it is under way until Completed(). `may_change`: this
  // dispatcher has a store and does not leave.
  std::optional<GroupMove> Next(Time now, const std::string& register_name,
                                const messages::ReplicaGroup& present, const std::vector<Member>& live,
                                bool may_change);
  // What the absent members of that register's group are taken for, by the looks so far.
  AbsentMembers AbsentMembersOf(Time now, const std::string& register_name) const;
  // `settled`: it was carried out, or is not wanted any more.
  void Completed(Time now, const std::string& register_name, bool settled);

 private:
  struct Register {
    std::optional<Time> majority_seen_since;
    Time seen_at = 0;  // the last look
    bool in_flight = false;
    int failures = 0;  // in a row
    Time not_before = 0;
  };

  static void Look(Time now, const messages::ReplicaGroup& present, const std::vector<Member>& live,
                   Register* looked_at);

  std::string self_name_;
  int tolerated_;
  std::mt19937_64 random_;
  std::map<std::string, Register> registers_;
};

}  // namespace lichenlug::node
