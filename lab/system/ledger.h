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
  void Broken(std::string what) { broken_.push_back(std::move(what)); }
  const std::vector<std::string>& broken() const { return broken_; }

  // A runner starts an attempt. An attempt that is not `repeatable` may start at most once.
  void RunBegan(const std::string& attempt_id, const std::string& tenant, bool repeatable) {
    ++begun_[tenant];
    if (!begun_attempts_.insert(attempt_id).second && !repeatable)
      Broken("attempt " + attempt_id + " was run twice");
  }
  // The runner of each attempt, and the crashed runners: their responses may be interrupted.
  void RunsAt(const std::string& attempt_id, const std::string& runner_id) {
    runner_of_[attempt_id] = runner_id;
  }
  void RunnerCrashed(const std::string& runner_id) { crashed_.insert(runner_id); }
  bool RunnerHasCrashed(const std::string& attempt_id) const {
    const auto found = runner_of_.find(attempt_id);
    return found != runner_of_.end() && crashed_.contains(found->second);
  }
  bool HasBegun(const std::string& attempt_id) const { return begun_attempts_.contains(attempt_id); }
  std::uint64_t begun(const std::string& tenant) const {
    const auto found = begun_.find(tenant);
    return found == begun_.end() ? 0 : found->second;
  }

 private:
  std::vector<std::string> broken_;
  std::set<std::string> begun_attempts_;
  std::map<std::string, std::string> runner_of_;  // by attempt
  std::set<std::string> crashed_;                 // runners
  std::map<std::string, std::uint64_t> begun_;    // by tenant
};

}  // namespace lichenlug::standins
