// Reads and writes the snapshot file. A new file is written beside the old one, synced and renamed over it,
// and the folder is synced: after a crash at any moment either the old or the new file exists.
//
// This is the only part of the quarantine that accesses a disk; snapshot.h defines the contents. Both calls
// block for as long as the disk takes. Errors are system errors, so that an operator sees the system's
// message, together with the failed step, the path, and a remedy.
#pragma once

#include <optional>
#include <string>
#include <system_error>

namespace lichenlug {

struct StoreError {
  std::error_code cause;
  std::string step, path;
  std::string Line() const;  // one line, with a remedy for the operator
};

struct StoredBytes {
  std::string bytes;  // empty if there is no file yet
  std::optional<StoreError> error;
};

std::optional<StoreError> SaveFile(const std::string& folder, const std::string& bytes);
StoredBytes LoadFile(const std::string& folder);

}  // namespace lichenlug
