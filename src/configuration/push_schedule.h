// The pushes of one version that are not acknowledged yet, and when each is to be sent again.
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
    bool relay = false;                 // to the dispatchers of its zone
    std::vector<std::string> relay_to;  // by their addresses
  };

  // Begins with a newer version; what was under way of an older one is dropped.
  void Begin(std::uint64_t revision);
  void AddZone(Time now, const std::string& zone);  // to one dispatcher of it, which relays
  // To these dispatchers, those left out that were added before: to each, or where that would keep a slow
  // link busy, as one push takes `transfer` on it, to a few that relay to the others.
  void AddAll(Time now, const std::vector<std::string>& addresses, Time transfer);

  // The pushes to be sent now, each of which takes `transfer` on a slow link. Each is sent again a few times
  // at most, to the next one that can relay. Dispatchers that are gone are left out.
  std::vector<Due> TakeDue(Time now, const Peers& peers, Time transfer);
  void Acknowledge(std::string_view address);
  // Sent to that address, not acknowledged, and not yet to be sent again.
  bool InFlight(Time now, std::string_view address) const;
  std::optional<Time> NextTimer() const;

 private:
  struct Push {
    std::string zone;                // empty: to a group
    std::vector<std::string> group;  // the one that is sent the push relays to the others
    std::vector<std::string> sent_to;
    std::size_t tries = 0;
    Time next_at = 0;
  };

  void AddGroup(Time now, std::vector<std::string> group);
  std::optional<Due> NextOf(const Push& push, const Peers& peers) const;

  std::uint64_t revision_ = 0;
  std::vector<Push> pushes_;
  std::set<std::string, std::less<>> added_;  // of all groups
};

}  // namespace lichenlug::configuration
