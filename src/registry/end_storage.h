// Which announced ends of runners (drains and removals) are on this dispatcher's disk. The acknowledgement of
// an end must outlast a crash of all dispatchers, so an update that announces ends is acknowledged in full
// only once they are stored. Does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "registry/merge.h"
#include "registry/registry.h"

namespace lichenlug::registry {

class EndStorage {
 public:
  // Without a store no end is ever stored, and updates are acknowledged at once.
  explicit EndStorage(bool has_store) : has_store_(has_store) {}

  // No write is requested before the store is open.
  void Opened(const std::vector<messages::RunnerRecord>& ends);
  // Whether the end has to be written: it is neither stored nor being written, and did not fail just before.
  bool NeedsWrite(Time now, const std::string& runner_id, AnnouncedEnd end) const;
  void Write(const messages::RunnerRecord& record, RegistryOutput* output);
  // The result of a write. Sends the acknowledgements that waited for it.
  void WriteDone(Time now, std::uint64_t token, bool written, RegistryOutput* output);
  bool IsStored(const std::string& runner_id, AnnouncedEnd end) const;
  // Erases the stored ends of all runners for which `keep` is false.
  void EraseUnless(const std::function<bool(const std::string& runner_id)>& keep, RegistryOutput* output);

  // Acknowledges an update: at once what it changes, and again when all ends in it are stored.
  void Acknowledge(const std::string& address, const messages::RegistryUpdate& update,
                   RegistryOutput* output);

 private:
  struct Entry {
    AnnouncedEnd stored = AnnouncedEnd::kNone;
    AnnouncedEnd writing = AnnouncedEnd::kNone;  // kNone: nothing is being written
    Time retry_at = 0;                           // after a failed write
  };
  struct PendingWrite {
    std::string runner_id;
    AnnouncedEnd end = AnnouncedEnd::kNone;
  };
  struct PendingAcknowledgement {
    std::string address;
    std::uint64_t number = 0;
    std::map<std::string, AnnouncedEnd> ends;  // by runner
  };

  bool AreStored(const std::map<std::string, AnnouncedEnd>& ends) const;

  const bool has_store_;
  bool is_open_ = false;
  std::uint64_t last_token_ = 0;
  std::map<std::string, Entry> entries_;                  // by runner
  std::map<std::uint64_t, PendingWrite> pending_writes_;  // by token
  std::deque<PendingAcknowledgement> pending_acknowledgements_;
};

}  // namespace lichenlug::registry
