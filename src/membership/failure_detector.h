// Watches a member's predecessors on the ring, which send it heartbeats. One that is silent is pinged, then
// accused, then declared dead if enough of its monitors agree. Where several are silent at once, the cause
// may be a cut that takes whole stretches of the ring from sight: then members all over the ring are pinged
// as well.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/member_table.h"
#include "membership/random.h"

namespace lichenlug::membership_ring {

class FailureDetector {
 public:
  struct Settings {
    Time heartbeat_interval, suspect_after, dead_after;
    std::size_t monitors;
  };
  struct Findings {
    std::vector<std::string> ping;     // ask them for an answer
    std::vector<std::string> accused;  // suspects since now, or with one more accuser
    std::vector<std::string> dead;     // declared dead now
  };

  FailureDetector(const Settings& settings, MemberTable* table, Random* random)
      : settings_(settings), table_(*table), random_(*random) {}

  void Check(Time now, Findings* findings);
  std::optional<Time> NextCheck(Time now) const;

  // Once a heartbeat period.
  void ProbeAtRandom(Time now, Findings* findings);

  // Its owner was paused: what it did not hear tells nothing of others.
  void RestartAll(Time now);
  // The member has objected, but was not heard directly: the way from it to here may be cut. Accuse it later.
  void Objected(Time now, const std::string& name);

 private:
  struct Watch {
    Time since = 0;
    Time next_ping = 0;
    int timeout_multiplier = 1;  // multiplies the time until it is accused
    bool probed = false;         // not a predecessor
  };

  void FollowRing(Time now);
  void CheckWatched(Time now, const std::string& name, Watch& watch, Findings* findings);
  void CheckSuspects(Time now, Findings* findings);
  bool MonitorsAgree(const Entry& entry) const;
  Time LastSign(const Entry& entry, const Watch& watch) const;
  Time SuspectAfter(const Watch& watch) const { return settings_.suspect_after * watch.timeout_multiplier; }
  Time DeadAfter(const Watch& watch) const {
    return SuspectAfter(watch) + settings_.dead_after - settings_.suspect_after;
  }
  Time PingAfter() const { return settings_.heartbeat_interval * 9 / 4; }

  const Settings settings_;
  MemberTable& table_;
  Random& random_;
  std::map<std::string, Watch> watches_;
  std::uint64_t ring_seen_ = 0;
  Time trouble_until_ = 0;
};

}  // namespace lichenlug::membership_ring
