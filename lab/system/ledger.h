// Record of a run: the requests that runners have started and the rules that were broken.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lichenlug::standins {

class Ledger {
 public:
  void RecordViolation(std::string rule) { violations_.push_back(std::move(rule)); }
  const std::vector<std::string>& broken() const { return violations_; }

  // A runner starts an attempt. An attempt that is not `repeatable` may start at most once.
  void RecordRunStart(const std::string& attempt_id, const std::string& tenant, bool repeatable) {
    ++started_by_tenant_[tenant];
    if (!started_attempts_.insert(attempt_id).second && !repeatable)
      RecordViolation("attempt " + attempt_id + " was run twice");
  }
  // The runner of each attempt, and the crashed runners: their responses may be interrupted.
  void RecordRunner(const std::string& attempt_id, const std::string& runner_id) {
    runner_of_[attempt_id] = runner_id;
  }
  void RecordRunnerCrash(const std::string& runner_id) { crashed_runners_.insert(runner_id); }
  bool RunnerHasCrashed(const std::string& attempt_id) const {
    const auto found = runner_of_.find(attempt_id);
    return found != runner_of_.end() && crashed_runners_.contains(found->second);
  }
  bool HasStarted(const std::string& attempt_id) const { return started_attempts_.contains(attempt_id); }
  std::uint64_t begun(const std::string& tenant) const {
    const auto found = started_by_tenant_.find(tenant);
    return found == started_by_tenant_.end() ? 0 : found->second;
  }

 private:
  std::vector<std::string> violations_;
  std::set<std::string> started_attempts_;
  std::map<std::string, std::string> runner_of_;  // by attempt
  std::set<std::string> crashed_runners_;
  std::map<std::string, std::uint64_t> started_by_tenant_;
};

}  // namespace lichenlug::standins
