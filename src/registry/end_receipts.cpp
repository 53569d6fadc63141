#include "registry/end_receipts.h"

namespace lichenlug::registry {

void EndReceipts::Add(const std::string& runner_id, const std::string& address) {
  receipts_[runner_id].insert(address);
}

bool EndReceipts::Has(const std::string& runner_id, const std::string& address) const {
  const auto found = receipts_.find(runner_id);
  return found != receipts_.end() && found->second.contains(address);
}

void EndReceipts::RemovePeer(const std::string& address) {
  for (auto& [runner_id, addresses] : receipts_) addresses.erase(address);
}

void EndReceipts::RemoveUnless(const std::function<bool(const std::string& runner_id)>& keep) {
  std::erase_if(receipts_, [&](const auto& entry) { return !keep(entry.first); });
}

}  // namespace lichenlug::registry
