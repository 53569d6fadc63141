// The registry of runners. Each service has a home dispatcher in each zone, to which its runners send
// heartbeats. A dispatcher that learns of a change propagates it to every live dispatcher, with retries until
// each has acknowledged it; anti-entropy repairs what was missed. Dispatchers with a store keep announced
// ends on disk, as the acknowledgement of an end must outlast a crash of all. A state machine without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"
#include "cluster/runner_list.h"
#include "messages/generated/registry.pb.h"

namespace lichenlug::registry {

struct RegistrySend {
  std::string address;
  messages::RegistryMessage message;
};
// A change of the stored ends. Changes must be made in order.
struct EndWrite {
  std::string runner_id;
  std::optional<messages::RunnerRecord> record;  // none: the stored record is erased
  std::uint64_t token = 0;                       // for Registry::WriteDone(), unless it is erased
};
struct RegistryOutput {
  std::vector<RegistrySend> sends;
  std::vector<EndWrite> writes;
  bool changed = false;  // whether Runners() has changed
};

struct RegistrySettings {
  std::string self_name;
  std::string zone;
  bool serves_control = true;                     // whether this dispatcher can be the home of runners
  bool counts_for_quorum = false;                 // whether this dispatcher does
  bool has_store = false;                         // whether this dispatcher stores announced ends
  bool prefers_quorum_members = true;             // prefer dispatchers that count for the quorum as homes
  Time heartbeat_interval = 1200 * kMillisecond;  // report_ms
  std::size_t max_runners = 20000;
  std::uint64_t seed = 0;
};

// Parses the body of a runner's heartbeat. Returns a one-line error message if it is invalid.
std::variant<messages::RunnerRecord, std::string> ReadHeartbeat(std::string_view runner_id,
                                                                std::string_view json);

class Registry {
 public:
  explicit Registry(RegistrySettings settings);
  ~Registry();

  struct Answer {
    bool taken = false;     // false: the table is full
    std::string report_to;  // the control address of the home; empty: none known
    // The runner drains: must not be acknowledged before enough dispatchers are known to have stored the
    // drain.
    bool is_end = false;
  };
  Answer Heartbeat(Time now, const messages::RunnerRecord& record, RegistryOutput* output);
  void Delete(Time now, const std::string& runner_id, RegistryOutput* output);
  // For a runner that drains or was removed: whether the dispatcher at `address` has acknowledged that, which
  // one with a store does only once the end is on its disk.
  bool IsEndAcknowledgedBy(const std::string& runner_id, const std::string& address) const;
  // Whether the runner's end is on the disk of this dispatcher.
  bool IsEndStored(const std::string& runner_id) const;
  // Sends the end to those of the addresses that have not acknowledged it.
  void SendEnd(Time now, const std::string& runner_id, const std::vector<std::string>& addresses,
               RegistryOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::RegistryMessage& message,
               RegistryOutput* output);
  void SetMembers(Time now, const std::vector<Member>& live, RegistryOutput* output);  // excluding this one
  // The store is open and contains these ends, with the time since each. No write is requested before.
  void StoreOpened(Time now, const std::vector<messages::RunnerRecord>& ends, RegistryOutput* output);
  void WriteDone(Time now, std::uint64_t token, bool written, RegistryOutput* output);
  void Tick(Time now, RegistryOutput* output);
  std::optional<Time> NextTimer() const;

  RunnerList Runners() const;
  // Whether a new process has received the table of a settled dispatcher, or has run for 2.5 heartbeat
  // intervals.
  bool Settled(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::registry
