// Which runners there are. Each service has a home dispatcher in each zone, to which its runners report;
// whoever hears of a change spreads it to every live dispatcher until each has answered, and digests find
// what was missed. A state machine.
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
#include "messages/generated/registry.pb.h"

namespace lichenlug::registry {

struct RegistrySend {
  std::string address;
  messages::RegistryMessage message;
};
struct RegistryOutput {
  std::vector<RegistrySend> sends;
  bool changed = false;  // Runners() is another now
};

struct RegistrySettings {
  std::string self_name;
  std::string zone;
  bool serves_control = true;                     // this dispatcher; runners are sent only to such
  bool counts_for_quorum = false;                 // this dispatcher
  bool prefers_stores = true;                     // as homes, dispatchers that count for the quorum
  Time heartbeat_interval = 1200 * kMillisecond;  // report_ms
  std::size_t max_runners = 20000;
  std::uint64_t seed = 0;
};

// The body of a runner's heartbeat, or a one-line reason why it can't be read.
std::variant<messages::RunnerRecord, std::string> ReadHeartbeat(std::string_view runner_id,
                                                                std::string_view json);

class Registry {
 public:
  explicit Registry(RegistrySettings settings);
  ~Registry();

  struct Answer {
    bool taken = false;     // false: the table is full
    std::string report_to;  // the home's control address; empty: none to name
    // The runner drains: not to be acknowledged before enough dispatchers are known to hold it.
    bool is_end = false;
  };
  Answer Heartbeat(Time now, const messages::RunnerRecord& record, RegistryOutput* output);
  void Delete(Time now, const std::string& runner_id, RegistryOutput* output);
  // Of a runner that drains or is gone: whether this dispatcher holds it, and the one at `address` has said
  // so.
  bool EndIsKnownAt(const std::string& runner_id, const std::string& address) const;
  // Tells those of them that have not said so.
  void TellEnd(Time now, const std::string& runner_id, const std::vector<std::string>& addresses,
               RegistryOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::RegistryMessage& message,
               RegistryOutput* output);
  void SetMembers(Time now, const std::vector<Member>& live, RegistryOutput* output);  // without this one
  void Tick(Time now, RegistryOutput* output);
  std::optional<Time> NextTimer() const;

  std::vector<messages::RunnerRecord> Runners() const;  // ready and draining, by id
  // For a fresh process: knows the table of a settled dispatcher, or has listened for 2.5 heartbeat periods.
  bool Settled(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::registry
