// Which dispatcher is the home of the runners of a service in a zone: the first by rendezvous hashing among
// the live ones of that zone, or among all if the zone has none. Only dispatchers that serve the control
// endpoint are eligible, and those that count for the quorum are preferred if there are any: the few machines
// that hold the control state have the network and processor capacity to propagate runner changes, which
// client-facing ones may lack.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"

namespace lichenlug::registry {

struct Home {
  bool is_self = false;
  std::string name;
  std::string address;          // empty: this dispatcher
  std::string control_address;  // empty: this dispatcher
  Time since = 0;               // when this dispatcher first saw it as the home
};

class Homes {
 public:
  struct Candidate {
    Member member;
    bool serves_control = true;
  };

  Homes(Candidate self, bool prefers_quorum_members);

  void SetMembers(Time now, const std::vector<Member>& live);  // excluding this one
  const Home& HomeOf(Time now, const std::string& service, const std::string& zone);

 private:
  Home Choose(const std::string& service, const std::string& zone) const;

  const Candidate self_;
  const bool prefers_quorum_members_;
  std::vector<Candidate> dispatchers_;  // including this one
  std::map<std::pair<std::string, std::string>, Home> homes_;
};

}  // namespace lichenlug::registry
