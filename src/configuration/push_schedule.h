// The unacknowledged pushes of one version, and when each is to be sent again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "configuration/peers.h"

namespace lichenlug::configuration {

class PushSchedule {
 public:
  struct Due {
    std::string address;
    bool relay = false;                 // the receiver relays it to its zone
    std::vector<std::string> relay_to;  // the receiver relays it to these addresses
  };

  // Starts with a newer version, and drops the pending pushes of the older one.
  void Begin(std::uint64_t revision);
  void AddZone(Time now, const std::string& zone);  // to one of its dispatchers, which relays
  // Adds pushes to these dispatchers, except those added before. `transfer` is the time that one push takes
  // on a slow link: if pushing to each would occupy such a link for too long, a few get the push and relay it
  // to the others.
  void AddAll(Time now, const std::vector<std::string>& addresses, Time transfer);

  // The pushes to send now, each of which takes `transfer` on a slow link. A push without an acknowledgement
  // is retried a few times, each time to the next candidate. Dispatchers that are no longer live are skipped.
  std::vector<Due> TakeDue(Time now, const Peers& peers, Time transfer);
  void Acknowledge(std::string_view address);
  // A push was sent to that address, is unacknowledged, and its retry is not due yet.
  bool InFlight(Time now, std::string_view address) const;
  std::optional<Time> NextTimer() const;

 private:
  struct Push {
    std::string zone;                // empty if the push goes to a group
    std::vector<std::string> group;  // the member that receives the push relays it to the others
    std::vector<std::string> sent_to;
    std::size_t attempts = 0;
    Time next_at = 0;
  };

  void AddGroup(Time now, std::vector<std::string> group);
  std::optional<Due> NextDue(const Push& push, const Peers& peers) const;

  std::uint64_t revision_ = 0;
  std::vector<Push> pushes_;
  std::set<std::string, std::less<>> added_;  // addresses in all groups
};

}  // namespace lichenlug::configuration
