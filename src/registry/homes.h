// Which dispatcher is the home of the runners of a service in a zone: the first by rendezvous hash among the
// live ones of that zone, or among all where the zone has none. Only those that serve control are asked, and
// of these, where there are any, those that count for the quorum: the few machines that hold the control
// state have the links and the processors to spread the news of runners, those that clients reach may have
// neither.
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
  std::string address;          // empty: this dispatcher itself
  std::string control_address;  // empty: this dispatcher itself
  Time since = 0;               // when it became the home, as seen here
};

class Homes {
 public:
  struct Candidate {
    Member member;
    bool serves_control = true;
  };

  Homes(Candidate self, bool prefers_stores);

  void SetMembers(Time now, const std::vector<Member>& live);  // without this one
  const Home& HomeOf(Time now, const std::string& service, const std::string& zone);

 private:
  Home Choose(const std::string& service, const std::string& zone) const;

  const Candidate self_;
  const bool prefers_stores_;
  std::vector<Candidate> dispatchers_;  // with this one
  std::map<std::pair<std::string, std::string>, Home> homes_;
};

}  // namespace lichenlug::registry
