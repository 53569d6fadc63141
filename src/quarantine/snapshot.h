// Binary snapshot of the tickets: versioned, checksummed, read completely or not at all.
//
//   "LLQUARAN", version (2 bytes), written at (8, microseconds), count (4), {length (2), record}..., XXH3 (8)
//
// A file that was truncated, corrupted (even by one bit) or written by a newer program yields no tickets, and
// a one-line error states the reason. A dispatcher without a snapshot gets the tickets from its peers.
#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "quarantine/table.h"

namespace lichenlug {

enum class SnapshotError { kTruncated = 1, kNotASnapshot, kNewer, kOlder, kCorrupted };
const std::error_category& SnapshotErrors();
inline std::error_code make_error_code(SnapshotError it) { return {static_cast<int>(it), SnapshotErrors()}; }

struct Snapshot {
  std::vector<std::pair<Fingerprint, Ticket>> tickets;  // empty if there is an error
  std::error_code error;
};

std::string WriteSnapshot(const Table& table, Time now);
Snapshot ReadSnapshot(std::string_view bytes);

}  // namespace lichenlug

template <>
struct std::is_error_code_enum<lichenlug::SnapshotError> : std::true_type {};
