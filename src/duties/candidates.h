// The candidates for a duty, as seen by one dispatcher, and the status of the duty's owner.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "duties/ownership_changes.h"

namespace lichenlug::duties {

class Candidates {
 public:
  Candidates(std::string register_name, std::string self_name);

  void SetMembers(const std::vector<Member>& live);

  // Whether the owner is live and not draining.
  bool IsServing(const Holder& owner) const;
  // Whether the owner's process has ended, as a later incarnation of the member was seen live.
  bool HasEnded(const Holder& owner) const;
  // The number of live candidates ahead of this dispatcher; none if it is not a candidate. The owner's member
  // is not counted, whatever its incarnation, as after a restart it must wait before it may take over.
  std::optional<int> Position(const Holder& owner) const;

 private:
  std::string register_name_;
  std::string self_name_;
  std::vector<Member> live_;
  std::vector<Member> order_;
  std::map<std::string, std::uint64_t> incarnations_;        // the latest seen live, by name
  std::map<std::string, std::uint64_t> ended_incarnations_;  // the latest known to have ended, by name
};

}  // namespace lichenlug::duties
