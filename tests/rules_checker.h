// An independent checker of the four rules. It observes the events passed to the nodes and their actions, and
// shares no code with the decision module.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rookgw/brain.h"

namespace rookgw::test {

class RulesChecker {
 public:
  // `capacity`: true slots of a warm worker, unknown to the nodes. `slack`: allowed time past the deadline.
  RulesChecker(Settings settings, double capacity, Time slack)
      : s_(std::move(settings)), capacity_(capacity), slack_(slack) {}

  void OnEvent(int node, Time now, const Event& event);
  void OnAction(int node, Time now, const Action& action);
  void Finish(Time now);

  double run_seconds = 0.3;  // run time of a job on a warm worker

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Attempt {
    std::string worker;
    Time at;
    bool open = true, never_ran = false;
  };
  struct Job {
    int cls = 0;
    double slots = 1;
    Time valid_until = 0, ended_at = -1;
    bool abandoned = false;
    std::vector<Attempt> attempts;
  };
  struct Entry {
    bool serving = false;
    Time stopped_at = 0, since = 0;
    int cell = kNone, zone = kNone;
  };

  void AddViolation(const std::string& what, RequestId id);
  bool NeverRan(const Job& job) const;

  Settings s_;
  double capacity_;
  Time slack_;
  std::map<std::pair<int, RequestId>, Job> jobs_;
  std::map<std::pair<int, std::string>, Entry> lists_;  // as each node received them
  std::map<std::string, std::vector<std::pair<Time, double>>> sent_;
  std::map<std::string, Time> started_;
  std::vector<std::string> violations_;
};

}  // namespace rookgw::test
