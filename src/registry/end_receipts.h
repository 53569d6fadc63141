// Which dispatchers have acknowledged a runner's end (it drains, or was removed). An acknowledgement to the
// runner is binding for all dispatchers, so it is sent only once enough of them are known to have the end on
// disk. Does no I/O.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lichenlug::registry {

class EndReceipts {
 public:
  // The dispatcher at `address` has stored the end of this runner.
  void Add(const std::string& runner_id, const std::string& address);
  bool Has(const std::string& runner_id, const std::string& address) const;
  // For a runner that is alive again, or no longer tracked.
  void Remove(const std::string& runner_id) { receipts_.erase(runner_id); }
  // Removes the receipts of all runners for which `keep` is false.
  void RemoveUnless(const std::function<bool(const std::string& runner_id)>& keep);
  // For a peer that has restarted, and so has lost its table.
  void RemovePeer(const std::string& address);

 private:
  std::map<std::string, std::set<std::string>> receipts_;  // addresses, by runner
};

}  // namespace lichenlug::registry
