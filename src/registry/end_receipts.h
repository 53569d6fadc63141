// Which dispatchers have said that they know of a runner's end (it drains, or is gone). An acknowledgement to
// the runner binds all dispatchers, so it waits until enough of them are known to hold it. Pure.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lichenlug::registry {

class EndReceipts {
 public:
  // `address` holds the end of this runner.
  void Add(const std::string& runner_id, const std::string& address);
  bool Has(const std::string& runner_id, const std::string& address) const;
  // The runner lives, or is forgotten.
  void Drop(const std::string& runner_id) { receipts_.erase(runner_id); }
  // Forgets all runners but those that are kept.
  void Keep(const std::function<bool(const std::string& runner_id)>& is_kept);
  // A process that has started anew has forgotten all.
  void DropPeer(const std::string& address);

 private:
  std::map<std::string, std::set<std::string>> receipts_;  // addresses, by runner
};

}  // namespace lichenlug::registry
