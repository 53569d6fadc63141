// The parts of a registry put together; what each does stands with it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "registry/anti_entropy.h"
#include "registry/end_receipts.h"
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
  bool EndIsKnownAt(const std::string& runner_id, const std::string& address) const;
  void TellEnd(Time now, const std::string& runner_id, const std::vector<std::string>& addresses,
               RegistryOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::RegistryMessage& message,
               RegistryOutput* output);
  void SetMembers(Time now, const std::vector<Member>& live, RegistryOutput* output);
  void Tick(Time now, RegistryOutput* output);
  std::optional<Time> NextTimer() const;
  std::vector<messages::RunnerRecord> Runners() const { return table_.Alive(); }
  bool Settled(Time now) const { return anti_entropy_.Settled(now); }

 private:
  // Heartbeats and silence (registry.cpp).

  // A heartbeat of a known runner; true: it was news.
  bool TakeHeartbeat(Time now, const messages::RunnerRecord& heartbeat, TrackedRunner* runner,
                     RegistryOutput* output);
  // An old heartbeat changes nothing, but that its runner drains holds from then on, as it is acknowledged.
  bool TakeLateDrain(Time now, const messages::RunnerRecord& heartbeat, TrackedRunner* runner,
                     RegistryOutput* output);
  // A runner that was lost does not come back while another one reports from its address.
  bool MayLive(Time now, const TrackedRunner& runner, const std::string& address);
  // Another runner at the address of this one must have ended.
  void TakeAddress(Time now, const TrackedRunner& runner, RegistryOutput* output);
  void Lose(Time now, TrackedRunner* runner, RegistryOutput* output);
  // Takes note of a change made here, to be spread.
  void Changed(Time now, TrackedRunner* runner, RegistryOutput* output);
  // Only the home of a runner declares it lost.
  void Expire(Time now, RegistryOutput* output);
  Time HomeTimeout() const;  // of a new home with its runners
  const Home& HomeOf(Time now, const messages::RunnerRecord& record);

  // What other dispatchers tell (registry_receive.cpp).

  void ReceiveUpdate(Time now, const std::string& from_address, const messages::RegistryUpdate& update,
                     RegistryOutput* output);
  // A dispatcher that was cut off may count runners as lost that others hear well. Found by a digest alone,
  // such a loss is put to the runner's home, which confirms or refutes it to all; a home that is new has yet
  // to hear its runners.
  enum class Loss { kTake, kIgnore, kAskHome };
  Loss JudgeLoss(Time now, const std::string& from_address, const messages::RunnerRecord& record);
  void ReceiveRecord(Time now, const std::string& from_address, const messages::RunnerRecord& record,
                     bool is_spread, RegistryOutput* output);
  // The peer holds what was sent to it; an end that it holds is noted.
  void NoteHeld(const std::string& address, const std::vector<std::string>& runner_ids);
  // A heartbeat without news that reached another dispatcher.
  void ReceiveAlive(Time now, const messages::RegistryUpdate::Alive& alive, RegistryOutput* output);

  RegistrySettings settings_;
  RunnerTable table_;
  Homes homes_;
  Spread spread_;
  EndReceipts receipts_;
  AntiEntropy anti_entropy_;
  std::optional<Time> last_tick_;
  Time thawed_at_ = 0;  // end of the last freeze of this process
  Time next_watch_ = 0;
};

}  // namespace lichenlug::registry
