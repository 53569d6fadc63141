// LevelDB's default environment, except that it syncs the folder after creating or renaming a file. LevelDB
// renames a new CURRENT into place and then removes the manifest named by the old one. A power loss that
// persists the removal but not the rename would leave a database that can't be opened.
#pragma once

#include <leveldb/env.h>

#include <cstdarg>
#include <string>

namespace lichenlug::storage {

// Makes the creation, renaming and removal of files in a folder durable.
leveldb::Status SyncFolder(const std::string& folder);

class SyncedEnv : public leveldb::EnvWrapper {
 public:
  SyncedEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
};

// Discards LevelDB's info log, which would cost disk writes.
class NullLogger : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

}  // namespace lichenlug::storage
