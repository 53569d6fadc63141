// The database of a record store, used from one thread: opening with all its checks, batches, and opening
// anew after an error.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "storage/record_store.h"
#include "storage/synced_env.h"

namespace lichenlug::storage {

using Records = std::vector<std::pair<std::string, std::string>>;

class Database {
 public:
  Database(std::string folder, std::string new_replica_id);

  RecordStore::OpenResult Open();
  // All of the batch, synced, or an error; after an error the next call opens the database anew, at the
  // earliest after a pause.
  bool Write(const Records& batch);

 private:
  leveldb::Status OpenFiles();
  leveldb::Status SetAside();  // moves what can't be read out of the way
  leveldb::Status ReadAll(Records* records);
  leveldb::Status ReadIdentity(RecordStore::OpenResult* result);
  bool EnsureOpen();
  void Fail(const std::string& what);  // closes the database; it is opened anew after a pause

  std::string folder_;
  std::string path_;  // of the database, inside the folder
  std::string new_replica_id_;
  std::string replica_id_;  // as opened first; another one is never written to
  SyncedEnv env_;
  NoLogger logger_;
  std::unique_ptr<leveldb::Cache> cache_;
  std::unique_ptr<leveldb::DB> database_;
  std::chrono::steady_clock::time_point reopen_at_;
  bool failing_ = false;  // the last write failed, which is in the log
};

}  // namespace lichenlug::storage
