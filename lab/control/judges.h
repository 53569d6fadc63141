// What must hold in a day, each a small judge that hears what happens and notes what breaks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "lab/control/network.h"

namespace lichenlug::lab::control {

struct Finding {
  Time at = 0;
  std::string judge;
  std::string line;
};

class Findings {
 public:
  void Note(Time at, const char* judge, std::string line);
  const std::vector<Finding>& all() const { return all_; }

 private:
  std::vector<Finding> all_;  // bounded
};

// The configurations that operators send carry the tags of all changes that they build on, and their own.
struct Version {
  std::int64_t edition = 0;
  std::vector<std::string> tags;
};

// The history of configurations is linearizable: a change that was acknowledged is in each later answer, and
// of two changes on one base one is taken.
class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(Findings* findings) : findings_(findings) {}

  void Acknowledged(Time now, const std::string& tag, std::int64_t base, std::int64_t edition);
  void ReadAnswered(Time sent, Time now, const Version& version);

  std::size_t acknowledged() const { return changes_.size(); }
  std::int64_t newest() const { return newest_; }  // acknowledged

 private:
  struct Change {
    Time acknowledged_at = 0;
    std::int64_t edition = 0;
  };

  Findings* findings_;
  std::map<std::string, Change> changes_;              // by tag
  std::map<std::int64_t, std::string> taken_on_base_;  // tag by edition that it was built on
  std::int64_t newest_ = 0;
};

// A configuration is in force at each machine in touch within its bound.
class InForce {
 public:
  InForce(Findings* findings, Time bound) : findings_(findings), bound_(bound) {}

  void Acknowledged(Time now, std::int64_t edition);
  // Of each machine in touch, several times a second. `in_touch_since`: no trouble since then.
  void Look(Time now, MachineIndex machine, Time in_touch_since, std::int64_t edition);

 private:
  Findings* findings_;
  Time bound_;
  std::vector<std::pair<Time, std::int64_t>> acknowledged_;  // rising
};

// An acknowledged drain, or end, of a runner holds at each machine in touch from a bound on, and for ever.
class Drains {
 public:
  Drains(Findings* findings, Time bound) : findings_(findings), bound_(bound) {}

  void Acknowledged(Time now, const std::string& runner);
  void Look(Time now, MachineIndex machine, Time in_touch_since, const std::set<std::string>& ready_runners);
  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  Findings* findings_;
  Time bound_;
  std::map<std::string, Time> acknowledged_;  // by runner
};

// The platform's view of a duty: one holder at a time, under fences that rise.
class Holders {
 public:
  Holders(Findings* findings, Time lease) : findings_(findings), lease_(lease) {}

  // The status that the platform answers. `fence_checked`: it refuses lower fences.
  int Called(Time now, MachineIndex machine, std::uint64_t fence, bool fence_checked);
  std::size_t calls() const { return calls_; }

 private:
  struct Refused {
    std::uint64_t fence = 0;
    Time at = 0;
  };

  Findings* findings_;
  Time lease_;
  std::map<std::uint64_t, MachineIndex> holders_;  // by fence
  std::map<MachineIndex, Refused> refused_;
  std::size_t calls_ = 0;
};

}  // namespace lichenlug::lab::control
