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
constexpr std::size_t kMaxFileBytes = 1u << 20;
constexpr int kMaxOpenFiles = 32;
constexpr std::chrono::milliseconds kReopenDelay{200};
constexpr char kIdentityKey[] = "identity";  // can't clash with callers' keys: those have kRecordPrefix
constexpr char kRecordPrefix = '=';

bool IsUnreadable(const leveldb::Status& status) {
  return status.IsCorruption() || status.IsInvalidArgument() || status.IsNotFound();
}

std::string RandomSuffix() {
  std::random_device device;
  const auto draw = [&] { return std::to_string(device()); };
  return "+" + draw() + draw();
}

// Whether the folder has database files but no CURRENT file. LevelDB would treat it as a new database.
bool LacksCurrentFile(const std::string& path) {
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
  // The identity of a first start must never be reused, so it gets a suffix if an older store was lost.
  if (LacksCurrentFile(path_)) new_replica_id_ += RandomSuffix();
  leveldb::Status status = OpenFiles();
  if (status.ok()) status = ReadIdentity(&result);
  if (status.ok()) status = ReadAll(&result.records);
  if (IsUnreadable(status)) {
    LOG(ERROR) << "store " << path_ << " is unreadable (" << status.ToString()
               << "); moving it to records.unreadable and creating a new one";
    new_replica_id_ += RandomSuffix();
    result = {};
    status = MoveAside();
    if (status.ok()) status = OpenFiles();
    if (status.ok()) status = ReadIdentity(&result);
  }
  if (!status.ok()) {
    database_.reset();
    result = {};
    result.error = "cannot open the store " + path_ + " (" + status.ToString() +
                   "): make its folder writable and free space on its disk";
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
  options.max_file_size = kMaxFileBytes;
  options.max_open_files = kMaxOpenFiles;
  leveldb::DB* database = nullptr;
  leveldb::Status status = leveldb::DB::Open(options, path_, &database);
  database_.reset(database);
  return status;
}

leveldb::Status Database::MoveAside() {
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
  // Never write to a store that has been replaced by another one.
  HandleError(status.ok() ? "its identity has changed" : status.ToString());
  return false;
}

bool Database::Write(const std::vector<RecordChange>& batch) {
  if (!EnsureOpen()) return false;
  leveldb::WriteBatch updates;
  for (const auto& [key, value] : batch) {
    if (value)
      updates.Put(kRecordPrefix + key, *value);
    else
      updates.Delete(kRecordPrefix + key);
  }
  leveldb::WriteOptions options;
  options.sync = true;
  const leveldb::Status status = database_->Write(options, &updates);
  if (!status.ok()) {
    HandleError(status.ToString());  // the end of its log may be torn; only reopening repairs it
    return false;
  }
  if (failing_) LOG(WARNING) << "store " << path_ << " accepts writes again";
  failing_ = false;
  return true;
}

void Database::HandleError(const std::string& what) {
  if (!failing_) LOG(ERROR) << "write to store " << path_ << " failed (" << what << "); reopening it";
  failing_ = true;
  database_.reset();
  reopen_at_ = std::chrono::steady_clock::now() + kReopenDelay;
}

}  // namespace lichenlug::storage
