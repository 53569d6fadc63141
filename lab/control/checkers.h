// Invariant checkers: each observes the events of a simulated day and records the violations of one
// invariant.
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

struct Violation {
  Time at = 0;
  std::string checker;
  std::string message;
};

class Violations {
 public:
  void Record(Time at, const char* checker, std::string message);
  const std::vector<Violation>& all() const { return all_; }

 private:
  std::vector<Violation> all_;  // limited to a maximum number
};

// A configuration carries the tag of its own change and the tags of all changes that it builds on.
struct Version {
  std::int64_t edition = 0;
  std::vector<std::string> tags;
};

// Checks that the history of configurations is linearizable: each later read contains every acknowledged
// change, and of two changes on the same base only one is accepted.
class HistoryChecker {
 public:
  explicit HistoryChecker(Violations* violations) : violations_(violations) {}

  void Acknowledged(Time now, const std::string& tag, std::int64_t base, std::int64_t edition);
  void ReadAnswered(Time sent, Time now, const Version& version);

  std::size_t acknowledged() const { return changes_.size(); }
  std::int64_t newest() const { return newest_; }  // acknowledged edition

 private:
  struct Change {
    Time acknowledged_at = 0;
    std::int64_t edition = 0;
  };

  Violations* violations_;
  std::map<std::string, Change> changes_;                 // by tag
  std::map<std::int64_t, std::string> accepted_on_base_;  // tag by the edition that the change was built on
  std::int64_t newest_ = 0;
};

// Checks that each connected machine uses an acknowledged configuration within the bound.
class InForceChecker {
 public:
  InForceChecker(Violations* violations, Time bound) : violations_(violations), bound_(bound) {}

  void Acknowledged(Time now, std::int64_t edition);
  // Called several times a second for each connected machine, which is undisturbed since `connected_since`.
  void Check(Time now, MachineIndex machine, Time connected_since, std::int64_t edition);

 private:
  Violations* violations_;
  Time bound_;
  std::vector<std::pair<Time, std::int64_t>> acknowledged_;  // by rising edition
};

// Checks that no connected machine lists a runner as ready after its drain or end was acknowledged, from the
// bound on.
class DrainChecker {
 public:
  DrainChecker(Violations* violations, Time bound) : violations_(violations), bound_(bound) {}

  void Acknowledged(Time now, const std::string& runner);
  void Check(Time now, MachineIndex machine, Time connected_since,
             const std::set<std::string>& ready_runners);
  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  Violations* violations_;
  Time bound_;
  std::map<std::string, Time> acknowledged_;  // by runner
};

// Checks a duty as the platform observes it: one holder at a time, with rising fencing tokens.
class HolderChecker {
 public:
  HolderChecker(Violations* violations, Time lease) : violations_(violations), lease_(lease) {}

  // Returns the HTTP status of the platform's answer. With `fence_checked` the platform refuses lower fences.
  int Called(Time now, MachineIndex machine, std::uint64_t fence, bool fence_checked);
  std::size_t calls() const { return calls_; }

 private:
  struct Refused {
    std::uint64_t fence = 0;
    Time at = 0;
  };

  Violations* violations_;
  Time lease_;
  std::map<std::uint64_t, MachineIndex> holders_;  // by fence
  std::map<MachineIndex, Refused> refused_;
  std::size_t calls_ = 0;
};

}  // namespace lichenlug::lab::control
