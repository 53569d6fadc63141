// The members that may hold a duty, as seen from one dispatcher, and what they tell of its owner.
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

  // Live, and not about to leave the duty as it drains.
  bool IsServing(const Holder& owner) const;
  // Live again in a later life: the one that held the duty acts no more.
  bool HasEnded(const Holder& owner) const;
  // How many live candidates come before this dispatcher, none if it is no candidate. The owner's machine is
  // left out in any life, as a new life has to wait.
  std::optional<int> Position(const Holder& owner) const;

 private:
  std::string register_name_;
  std::string self_name_;
  std::vector<Member> live_;
  std::vector<Member> order_;
  std::map<std::string, std::uint64_t> incarnations_;  // the latest seen live, by name
  std::map<std::string, std::uint64_t> ended_lives_;   // the latest known to be over, by name
};

}  // namespace lichenlug::duties
