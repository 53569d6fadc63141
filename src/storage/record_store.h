// Records of the control plane on disk: LevelDB on a dedicated thread, because a disk may hang for seconds.
// Each write is synced before its callback runs. Errors (disk full, stalled, corrupt) are reported to the
// callback, never thrown; after an error the database is reopened. Callbacks run on the storage thread; the
// caller must post them to its own thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lichenlug::storage {

class RecordStore {
 public:
  struct OpenResult {
    bool opened = false;
    std::string error;       // if not opened: one line with the remedy
    std::string replica_id;  // identity of the store
    bool created = false;    // the folder had no store before
    std::vector<std::pair<std::string, std::string>> records;
  };

  // `folder` must exist. A new store gets `new_replica_id`, synced before Open completes.
  explicit RecordStore(std::string folder, std::string new_replica_id);
  ~RecordStore();  // waits for queued writes

  void Open(std::function<void(OpenResult)> done);
  void Write(std::string key, std::string value,
             std::function<void(bool written)> done);  // callbacks run in the order of the calls
  // Erases the record after the writes before it. A record whose erasure fails is there at the next opening.
  void Erase(std::string key);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::storage
