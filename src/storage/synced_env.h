// LevelDB's own environment, except that the creation and the rename of a file are followed by a sync of the
// folder. LevelDB renames a new CURRENT into place and then removes the manifest that the old one names: a
// loss of power that keeps the removal and loses the rename would leave a database that can't be opened.
#pragma once

#include <leveldb/env.h>

#include <cstdarg>
#include <string>

namespace lichenlug::storage {

// Makes the creation, rename and removal of files in a folder last.
leveldb::Status SyncFolder(const std::string& folder);

class SyncedEnv : public leveldb::EnvWrapper {
 public:
  SyncedEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
};

// Takes LevelDB's own notes, which would cost disk writes, and drops them.
class NoLogger : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

}  // namespace lichenlug::storage
