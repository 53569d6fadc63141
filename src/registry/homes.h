// Which dispatcher is the home of the runners of a service in a zone: the first by rendezvous hash among the
// live ones of that zone, or among all where the zone has none.
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
  Homes(std::string self_name, std::string zone);

  void SetMembers(Time now, const std::vector<Member>& live);  // without this one
  const Home& HomeOf(Time now, const std::string& service, const std::string& zone);

 private:
  Home Choose(const std::string& service, const std::string& zone) const;

  Member self_;
  std::vector<Member> dispatchers_;  // with this one
  std::map<std::pair<std::string, std::string>, Home> homes_;
};

}  // namespace lichenlug::registry
