// Gossip: names of members whose records changed recently. Each is forwarded once to a few members in a burst
// and piggybacked on heartbeats for a short time.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace lichenlug::membership_ring {

class Gossip {
 public:
  static constexpr std::size_t kMaxNamesPerMessage = 64;
  static constexpr Time kBurstInterval = 50 * kMillisecond;
  static constexpr Time kPiggybackDuration = 450 * kMillisecond;  // about one heartbeat

  void Add(Time now, const std::string& name) {
    pending_.insert(name);
    recent_[name] = now + kPiggybackDuration;
  }

  // When the next burst is due; none if there is nothing to send.
  std::optional<Time> DueAt() const {
    if (pending_.empty()) return std::nullopt;
    return last_burst_ + kBurstInterval;
  }
  std::vector<std::string> TakeBurst(Time now);
  std::vector<std::string> Recent(Time now);  // to piggyback on a heartbeat

 private:
  std::set<std::string> pending_;
  std::map<std::string, Time> recent_;  // by name: until when
  Time last_burst_ = 0;
};

}  // namespace lichenlug::membership_ring
