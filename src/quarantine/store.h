// The snapshot's file. Written beside the old one, synced, renamed over it, and the folder synced: after a
// crash at any moment there is the old file or the new one.
//
// The only part of the quarantine that touches a disk; the bytes are snapshot.h's. Both calls block for as
// long as the disk takes. Errors are system errors, so that an operator sees what the system said, with the
// step that failed, the path, and what to do.
#pragma once

#include <optional>
#include <string>
#include <system_error>

namespace lichenlug {

struct StoreError {
  std::error_code cause;
  std::string step, path;
  std::string Line() const;  // one line, with what an operator can do
};

struct StoredBytes {
  std::string bytes;  // empty where there is no file yet
  std::optional<StoreError> error;
};

std::optional<StoreError> SaveFile(const std::string& folder, const std::string& bytes);
StoredBytes LoadFile(const std::string& folder);

}  // namespace lichenlug
