// The pushes of one version that are not acknowledged yet, and when each is to be sent again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
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
    bool relay = false;
  };

  // Begins with a newer version; what was under way of an older one is dropped.
  void Begin(std::uint64_t revision);
  void AddDirect(Time now, const std::string& address);
  void AddZone(Time now, const std::string& zone);  // to one dispatcher of it, which relays

  // The pushes to be sent now, each of which takes `transfer` on a slow link. Each is sent again a few times
  // at most, to the next relay of its zone. Dispatchers that are gone are left out.
  std::vector<Due> TakeDue(Time now, const Peers& peers, Time transfer);
  void Acknowledge(std::string_view address);
  // Sent to that address, not acknowledged, and not yet to be sent again.
  bool UnderWay(Time now, std::string_view address) const;
  std::optional<Time> NextTimer() const;

 private:
  struct Push {
    std::string zone;                    // empty: to one dispatcher
    std::vector<std::string> addresses;  // it was or will be sent to
    std::size_t tries = 0;
    Time next_at = 0;
  };

  std::uint64_t revision_ = 0;
  std::vector<Push> pushes_;
};

}  // namespace lichenlug::configuration
