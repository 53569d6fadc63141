#include "quarantine/snapshot.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "quarantine/codec.h"

namespace lichenlug {
namespace {

constexpr std::string_view kMagic = "LLQUARAN";
constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kChecksumBytes = 8, kMaxRecordInSnapshot = 1024;

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "quarantine snapshot"; }
  std::string message(int code) const override {
    switch (static_cast<SnapshotError>(code)) {
      case SnapshotError::kTruncated:
        return "the file is truncated; no action is needed, the next save replaces it";
      case SnapshotError::kNotASnapshot:
        return "not a quarantine snapshot; check the configured folder";
      case SnapshotError::kNewer:
        return "written by a newer version; run that version or remove the file";
      case SnapshotError::kOlder:
        return "the format is no longer supported; the next save replaces the file";
      case SnapshotError::kCorrupted:
        return "checksum mismatch; check the disk; the next save replaces the file";
    }
    return "unknown";
  }
};

}  // namespace

const std::error_category& SnapshotErrors() {
  static const Category category;
  return category;
}

std::string WriteSnapshot(const Table& table, Time now) {
  std::string bytes(kMagic);
  PutNumber(&bytes, kVersion);
  PutNumber(&bytes, static_cast<std::uint64_t>(now));
  PutNumber(&bytes, static_cast<std::uint32_t>(table.all().size()));
  for (const auto& [job, ticket] : table.all()) {
    const std::string record = Encode(job, ticket, now, kMaxRecordInSnapshot);
    PutNumber(&bytes, static_cast<std::uint16_t>(record.size()));
    bytes += record;
  }
  PutNumber(&bytes, static_cast<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size())));
  return bytes;
}

Snapshot ReadSnapshot(std::string_view bytes) {
  if (!bytes.starts_with(kMagic.substr(0, bytes.size()))) return {{}, SnapshotError::kNotASnapshot};
  if (bytes.size() < kMagic.size() + sizeof kVersion) return {{}, SnapshotError::kTruncated};
  ByteReader in(bytes.substr(kMagic.size()));
  const auto version = in.Number<std::uint16_t>();
  if (version != kVersion) return {{}, version > kVersion ? SnapshotError::kNewer : SnapshotError::kOlder};
  const auto written = static_cast<Time>(in.Number<std::uint64_t>());
  const auto count = in.Number<std::uint32_t>();
  if (!in.good() || in.left() < kChecksumBytes) return {{}, SnapshotError::kTruncated};
  Snapshot read;
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto size = in.Number<std::uint16_t>();
    const std::string_view record = in.Text(size);
    if (!in.good() || in.left() < kChecksumBytes) return {{}, SnapshotError::kTruncated};
    auto ticket = Decode(record, written);
    if (!ticket) return {{}, SnapshotError::kCorrupted};
    read.tickets.push_back(std::move(*ticket));
  }
  const std::string_view summed = bytes.substr(0, bytes.size() - in.left());
  if (in.left() != kChecksumBytes || in.Number<std::uint64_t>() != XXH3_64bits(summed.data(), summed.size()))
    return {{}, SnapshotError::kCorrupted};
  return read;
}

}  // namespace lichenlug
