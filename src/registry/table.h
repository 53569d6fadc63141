// The runners that one dispatcher knows, with those that ended of late, so that old news of them changes
// nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/registry.pb.h"
#include "registry/merge.h"

namespace lichenlug::registry {

class RunnerTable {
 public:
  explicit RunnerTable(std::size_t max_runners) : max_runners_(max_runners) {}

  TrackedRunner* Find(const std::string& runner_id);
  // A new entry, or null where the table is full.
  TrackedRunner* Add(Time now, const messages::RunnerRecord& record);
  // Another runner that is alive and has this address, or null.
  TrackedRunner* HolderOfAddress(const std::string& address, const std::string& other_than);
  std::vector<messages::RunnerRecord> Alive() const;  // by id
  std::map<std::string, TrackedRunner>& runners() { return runners_; }

  // Forgets those that ended long ago, and the oldest of too many.
  void DropEnded(Time now);

  // What digests compare. Those that ended some time ago are left out, as dispatchers forget them one by one.
  std::uint64_t Hash(Time now) const;
  void Describe(Time now, messages::RegistryDigest* digest) const;
  // Whether a record that ended so long ago is still worth taking in, where its runner is not known.
  static bool WorthLearning(const messages::RunnerRecord& record);
  // When a runner ended that another dispatcher tells of.
  static Time EndedAt(Time now, const messages::RunnerRecord& record);
  // The record to be sent, with its age.
  static messages::RunnerRecord ToSend(Time now, const TrackedRunner& runner);

 private:
  std::size_t max_runners_;
  std::map<std::string, TrackedRunner> runners_;
};

}  // namespace lichenlug::registry
