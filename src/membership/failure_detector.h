// Failure detector. Monitors a member's predecessors on the ring, which send it heartbeats. A silent one is
// pinged, then suspected, then declared dead if enough of its monitors agree. Several silent at once may mean
// a network partition that hides whole segments of the ring: then random members of the ring are pinged too.
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
    std::vector<std::string> ping;       // to be pinged
    std::vector<std::string> suspected;  // newly suspected, or suspected by one more monitor
    std::vector<std::string> dead;       // newly declared dead
  };

  FailureDetector(const Settings& settings, MemberTable* table, Random* random)
      : settings_(settings), table_(*table), random_(*random) {}

  void Check(Time now, Findings* findings);
  std::optional<Time> NextCheck(Time now) const;

  // Called once per heartbeat period.
  void ProbeRandomMembers(Time now, Findings* findings);

  // Restarts all timeouts after a pause of this process: missed heartbeats then say nothing about others.
  void RestartTimeouts(Time now);
  // The member refuted a suspicion, but no heartbeat came from it directly: the path from it to this member
  // may be down. Increases the timeout until it is suspected again.
  void OnRefuted(Time now, const std::string& name);

 private:
  struct Watch {
    Time since = 0;
    Time next_ping = 0;
    int timeout_multiplier = 1;  // of the time until it is suspected
    bool probed = false;         // a random probe, not a predecessor
  };

  void UpdateWatches(Time now);
  void CheckWatched(Time now, const std::string& name, Watch& watch, Findings* findings);
  void CheckSuspects(Time now, Findings* findings);
  bool MonitorsAgree(const Entry& entry) const;
  Time LastSignOfLife(const Entry& entry, const Watch& watch) const;
  Time SuspectAfter(const Watch& watch) const { return settings_.suspect_after * watch.timeout_multiplier; }
  Time DeadAfter(const Watch& watch) const {
    return SuspectAfter(watch) + settings_.dead_after - settings_.suspect_after;
  }
  Time PingAfter() const { return settings_.heartbeat_interval * 9 / 4; }

  const Settings settings_;
  MemberTable& table_;
  Random& random_;
  std::map<std::string, Watch> watches_;
  std::uint64_t seen_ring_version_ = 0;
  Time random_probing_until_ = 0;
};

}  // namespace lichenlug::membership_ring
