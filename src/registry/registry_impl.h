// Implementation of Registry, which combines the components declared in the included headers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "registry/anti_entropy.h"
#include "registry/end_receipts.h"
#include "registry/end_storage.h"
#include "registry/homes.h"
#include "registry/merge.h"
#include "registry/registry.h"
#include "registry/spread.h"
#include "registry/table.h"

namespace lichenlug::registry {

class Registry::Impl {
 public:
  explicit Impl(RegistrySettings settings);

  Answer Heartbeat(Time now, const messages::RunnerRecord& heartbeat, RegistryOutput* output);
  void Delete(Time now, const std::string& runner_id, RegistryOutput* output);
  bool IsEndAcknowledgedBy(const std::string& runner_id, const std::string& address) const;
  bool IsEndStored(const std::string& runner_id);
  void StoreOpened(Time now, const std::vector<messages::RunnerRecord>& ends, RegistryOutput* output);
  void WriteDone(Time now, std::uint64_t token, bool written, RegistryOutput* output);
  void SendEnd(Time now, const std::string& runner_id, const std::vector<std::string>& addresses,
               RegistryOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::RegistryMessage& message,
               RegistryOutput* output);
  void SetMembers(Time now, const std::vector<Member>& live, RegistryOutput* output);
  void Tick(Time now, RegistryOutput* output);
  std::optional<Time> NextTimer() const;
  RunnerList Runners() { return table_.Alive(); }
  bool Settled(Time now) const { return anti_entropy_.Settled(now); }

 private:
  // Heartbeats and expiry (registry.cpp).

  // Handles a heartbeat of a known runner. Returns whether it changed the record.
  bool ApplyHeartbeat(Time now, const messages::RunnerRecord& heartbeat, TrackedRunner* runner,
                      RegistryOutput* output);
  // A stale heartbeat changes nothing, except that a drain in it takes effect, because it is acknowledged to
  // the runner.
  bool ApplyStaleDrain(Time now, const messages::RunnerRecord& heartbeat, TrackedRunner* runner,
                       RegistryOutput* output);
  // Whether the runner may be alive: a lost runner stays lost while another one reports from its address.
  bool MayBeAlive(Time now, const TrackedRunner& runner, const std::string& address);
  // Marks any other runner with the address of this one as lost, as it must have ended.
  void ClaimAddress(Time now, const TrackedRunner& runner, RegistryOutput* output);
  void DeclareLost(Time now, TrackedRunner* runner, RegistryOutput* output);
  // Records a local change and queues it for propagation.
  void RecordChange(Time now, TrackedRunner* runner, RegistryOutput* output);
  // Declares silent runners lost; only the home of a runner does that.
  void Expire(Time now, RegistryOutput* output);
  Time HomeTimeout() const;  // how long a new home waits before it declares runners lost
  const Home& HomeOf(Time now, const messages::RunnerRecord& record);

  // Announced ends on disk (registry_store.cpp).

  // Requests a write of the runner's announced end, unless there is none or it is stored.
  void StoreEnd(Time now, const TrackedRunner& runner, RegistryOutput* output);
  void StoreEnds(Time now, RegistryOutput* output);  // of all runners
  void RestoreEnd(Time now, const messages::RunnerRecord& end, RegistryOutput* output);

  // Messages from other dispatchers (registry_receive.cpp).

  void ReceiveUpdate(Time now, const std::string& from_address, const messages::RegistryUpdate& update,
                     RegistryOutput* output);
  // A dispatcher that was partitioned may have declared runners lost that still report to others. A loss
  // learned through anti-entropy is therefore forwarded to the runner's home, which confirms or refutes it to
  // all. It is ignored while the home is new, as runners have yet to report to it.
  enum class LossAction { kAccept, kIgnore, kForwardToHome };
  LossAction ClassifyLoss(Time now, const std::string& from_address, const messages::RunnerRecord& record);
  void ReceiveRecord(Time now, const std::string& from_address, const messages::RunnerRecord& record,
                     bool is_spread, RegistryOutput* output);
  // The peer has acknowledged these records; records a receipt for each that is an end.
  void RecordAcknowledged(const std::string& address, const std::vector<std::string>& runner_ids);
  // Handles the notice of a heartbeat without changes that another dispatcher received.
  void ReceiveAlive(Time now, const messages::RegistryUpdate::Alive& alive, RegistryOutput* output);

  RegistrySettings settings_;
  RunnerTable table_;
  Homes homes_;
  Spread spread_;
  EndReceipts receipts_;
  EndStorage storage_;
  AntiEntropy anti_entropy_;
  std::optional<Time> last_tick_;
  Time resumed_at_ = 0;  // end of the last pause of this process
  Time next_expiry_check_ = 0;
};

}  // namespace lichenlug::registry
