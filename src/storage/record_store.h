// Records of the control plane on disk: LevelDB on a thread of its own, as a disk may hang for seconds. Each
// write is synced before its callback is told of it. Errors (full, stalled, corrupt) are told, never thrown;
// after an error the database is reopened. Callbacks run on the storage thread; the caller posts them where
// they belong.
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
    std::string error;       // one line with the remedy, where not opened
    std::string replica_id;  // identity of the store
    bool created = false;    // the folder held no store before
    std::vector<std::pair<std::string, std::string>> records;
  };

  // `folder` exists. A new store is given `new_replica_id`, synced before Open answers.
  explicit RecordStore(std::string folder, std::string new_replica_id);
  ~RecordStore();  // waits for the writes under way

  void Open(std::function<void(OpenResult)> done);
  void Write(std::string key, std::string value,
             std::function<void(bool written)> done);  // in order of calls

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::storage
