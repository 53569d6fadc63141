#include "storage/synced_env.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace lichenlug::storage {
namespace {

std::string FolderOf(const std::string& path) { return std::filesystem::path(path).parent_path().string(); }

}  // namespace

leveldb::Status SyncFolder(const std::string& folder) {
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return leveldb::Status::IOError(folder, std::strerror(errno));
  const int result = ::fsync(descriptor);
  const int error = errno;
  ::close(descriptor);
  return result == 0 ? leveldb::Status::OK() : leveldb::Status::IOError(folder, std::strerror(error));
}

leveldb::Status SyncedEnv::NewWritableFile(const std::string& path, leveldb::WritableFile** file) {
  leveldb::Status status = target()->NewWritableFile(path, file);
  if (!status.ok()) return status;
  status = SyncFolder(FolderOf(path));
  if (!status.ok()) {
    delete *file;
    *file = nullptr;
  }
  return status;
}

leveldb::Status SyncedEnv::RenameFile(const std::string& from, const std::string& to) {
  const leveldb::Status status = target()->RenameFile(from, to);
  return status.ok() ? SyncFolder(FolderOf(to)) : status;
}

}  // namespace lichenlug::storage
