#include "storage/database.h"

#include <glog/logging.h>
#include <leveldb/write_batch.h>

#include <filesystem>
#include <random>

namespace lichenlug::storage {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kWriteBufferBytes = 1u << 20;
constexpr std::size_t kCacheBytes = 64u << 10;
constexpr std::size_t kLargestFileBytes = 1u << 20;
constexpr int kOpenFiles = 32;
constexpr std::chrono::milliseconds kReopenPause{200};
constexpr char kIdentityKey[] = "identity";  // no key of a caller: those are kept under kRecordPrefix
constexpr char kRecordPrefix = '=';

bool IsUnreadable(const leveldb::Status& status) {
  return status.IsCorruption() || status.IsInvalidArgument() || status.IsNotFound();
}

std::string RandomSuffix() {
  std::random_device device;
  const auto draw = [&] { return std::to_string(device()); };
  return "+" + draw() + draw();
}

// Files of a database, but not the one that names its parts: what LevelDB takes for a new database.
bool HasLostCurrent(const std::string& path) {
  std::error_code error;
  const bool empty = fs::is_empty(path, error);
  return !error && !empty && !fs::exists(fs::path(path) / "CURRENT", error);
}

}  // namespace

Database::Database(std::string folder, std::string new_replica_id)
    : folder_(std::move(folder)),
      path_((fs::path(folder_) / "records").string()),
      new_replica_id_(std::move(new_replica_id)),
      cache_(leveldb::NewLRUCache(kCacheBytes)) {}

RecordStore::OpenResult Database::Open() {
  RecordStore::OpenResult result;
  // An identity given for a first start must not come twice: not where an older store was lost.
  if (HasLostCurrent(path_)) new_replica_id_ += RandomSuffix();
  leveldb::Status status = OpenFiles();
  if (status.ok()) status = ReadIdentity(&result);
  if (status.ok()) status = ReadAll(&result.records);
  if (IsUnreadable(status)) {
    LOG(ERROR) << "store " << path_ << " can't be read (" << status.ToString()
               << "); it is kept as records.unreadable and a new one is made";
    new_replica_id_ += RandomSuffix();
    result = {};
    status = SetAside();
    if (status.ok()) status = OpenFiles();
    if (status.ok()) status = ReadIdentity(&result);
  }
  if (!status.ok()) {
    database_.reset();
    result = {};
    result.error = "the store " + path_ + " can't be opened (" + status.ToString() +
                   "): make its folder writable and its disk free";
    return result;
  }
  result.opened = true;
  replica_id_ = result.replica_id;
  return result;
}

leveldb::Status Database::OpenFiles() {
  database_.reset();
  std::error_code error;
  if (fs::create_directory(path_, error)) {
    leveldb::Status synced = SyncFolder(folder_);
    if (!synced.ok()) return synced;
  }
  if (error) return leveldb::Status::IOError(path_, error.message());
  leveldb::Options options;
  options.create_if_missing = true;
  options.env = &env_;
  options.info_log = &logger_;
  options.write_buffer_size = kWriteBufferBytes;
  options.block_cache = cache_.get();
  options.max_file_size = kLargestFileBytes;
  options.max_open_files = kOpenFiles;
  leveldb::DB* database = nullptr;
  leveldb::Status status = leveldb::DB::Open(options, path_, &database);
  database_.reset(database);
  return status;
}

leveldb::Status Database::SetAside() {
  database_.reset();
  const fs::path kept = fs::path(folder_) / "records.unreadable";
  std::error_code error;
  fs::remove_all(kept, error);
  if (!error) fs::rename(path_, kept, error);
  if (error) return leveldb::Status::IOError(kept.string(), error.message());
  return SyncFolder(folder_);
}

leveldb::Status Database::ReadIdentity(RecordStore::OpenResult* result) {
  leveldb::ReadOptions read;
  read.verify_checksums = true;
  leveldb::Status status = database_->Get(read, kIdentityKey, &result->replica_id);
  if (!status.IsNotFound()) return status;
  result->created = true;
  result->replica_id = new_replica_id_;
  leveldb::WriteOptions write;
  write.sync = true;
  const leveldb::Status written = database_->Put(write, kIdentityKey, new_replica_id_);
  return written.ok() ? SyncFolder(path_) : written;
}

leveldb::Status Database::ReadAll(Records* records) {
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  options.fill_cache = false;
  const std::unique_ptr<leveldb::Iterator> iterator(database_->NewIterator(options));
  const std::string prefix(1, kRecordPrefix);
  for (iterator->Seek(prefix); iterator->Valid() && iterator->key().starts_with(prefix); iterator->Next()) {
    records->emplace_back(iterator->key().ToString().substr(1), iterator->value().ToString());
  }
  return iterator->status();
}

bool Database::EnsureOpen() {
  if (database_ != nullptr) return true;
  if (replica_id_.empty() || std::chrono::steady_clock::now() < reopen_at_) return false;
  std::string identity;
  leveldb::Status status = OpenFiles();
  if (status.ok()) status = database_->Get(leveldb::ReadOptions(), kIdentityKey, &identity);
  if (status.ok() && identity == replica_id_) return true;
  // A store that has become another one is not written to in the name of the old one.
  Fail(status.ok() ? "it holds another identity" : status.ToString());
  return false;
}

bool Database::Write(const Records& batch) {
  if (!EnsureOpen()) return false;
  leveldb::WriteBatch updates;
  for (const auto& [key, value] : batch) updates.Put(kRecordPrefix + key, value);
  leveldb::WriteOptions options;
  options.sync = true;
  const leveldb::Status status = database_->Write(options, &updates);
  if (!status.ok()) {
    Fail(status.ToString());  // the end of its log is unsure: only opening anew makes it whole
    return false;
  }
  if (failing_) LOG(WARNING) << "store " << path_ << " takes writes again";
  failing_ = false;
  return true;
}

void Database::Fail(const std::string& what) {
  if (!failing_)
    LOG(ERROR) << "store " << path_ << " has not taken a write (" << what << "); it is tried again";
  failing_ = true;
  database_.reset();
  reopen_at_ = std::chrono::steady_clock::now() + kReopenPause;
}

}  // namespace lichenlug::storage
