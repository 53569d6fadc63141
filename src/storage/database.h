// The LevelDB database of a record store, used from a single thread: checks on opening, batch writes, and
// reopening after an error.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "storage/record_store.h"
#include "storage/synced_env.h"

namespace lichenlug::storage {

using Records = std::vector<std::pair<std::string, std::string>>;

struct RecordChange {
  std::string key;
  std::optional<std::string> value;  // none: the record is erased
};

class Database {
 public:
  Database(std::string folder, std::string new_replica_id);

  RecordStore::OpenResult Open();
  // Writes and syncs the whole batch; returns false on error. After an error, calls fail until a delay has
  // passed; then the next call reopens the database.
  bool Write(const std::vector<RecordChange>& batch);

 private:
  leveldb::Status OpenFiles();
  leveldb::Status MoveAside();  // moves an unreadable database out of the way
  leveldb::Status ReadAll(Records* records);
  leveldb::Status ReadIdentity(RecordStore::OpenResult* result);
  bool EnsureOpen();
  void HandleError(const std::string& what);  // closes the database; it is reopened after a delay

  std::string folder_;
  std::string path_;  // of the database, inside the folder
  std::string new_replica_id_;
  std::string replica_id_;  // as first opened; a store with another identity is never written to
  SyncedEnv env_;
  NullLogger logger_;
  std::unique_ptr<leveldb::Cache> cache_;
  std::unique_ptr<leveldb::DB> database_;
  std::chrono::steady_clock::time_point reopen_at_;
  bool failing_ = false;  // the last write failed and was logged
};

}  // namespace lichenlug::storage
