// The runners that one dispatcher knows, including tombstones of those that ended recently, so that stale
// records of them have no effect.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/runner_list.h"
#include "messages/generated/registry.pb.h"
#include "registry/merge.h"

namespace lichenlug::registry {

class RunnerTable {
 public:
  explicit RunnerTable(std::size_t max_runners) : max_runners_(max_runners) {}

  TrackedRunner* Find(const std::string& runner_id);
  // Adds an entry; null if the table is full.
  TrackedRunner* Add(Time now, const messages::RunnerRecord& record);
  // Another runner that is alive and has this address, or null.
  TrackedRunner* FindAliveByAddress(const std::string& address, const std::string& excluded_runner);
  RunnerList Alive();
  std::map<std::string, TrackedRunner>& runners() { return runners_; }

  // Removes runners that ended long ago, and the oldest ones beyond the limit.
  void RemoveExpired(Time now);

  // The hash that digests compare. Runners that ended some time ago are left out, as dispatchers remove them
  // at different times.
  std::uint64_t Hash(Time now) const;
  void Describe(Time now, messages::RegistryDigest* digest) const;
  // Whether to accept a record of an unknown runner: not if it ended too long ago.
  static bool ShouldAccept(const messages::RunnerRecord& record);
  // When the runner of a received record ended, in local time.
  static Time EndedAt(Time now, const messages::RunnerRecord& record);
  // The record to send, with the time since its end.
  static messages::RunnerRecord RecordToSend(Time now, const TrackedRunner& runner);
  // The record to store for a runner with an announced end, with the time since its end. Of a runner that is
  // gone only its identity matters.
  static messages::RunnerRecord RecordToStore(Time now, const TrackedRunner& runner);

 private:
  std::size_t max_runners_;
  std::map<std::string, TrackedRunner> runners_;
};

}  // namespace lichenlug::registry
