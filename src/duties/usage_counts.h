// The counts of all dispatchers, by window and tenant. Reports are cumulative within one dispatcher process,
// so the maximum per process is its count, and the counts of processes are summed. Merging is idempotent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

class UsageCounts {
 public:
  explicit UsageCounts(std::int64_t kept_windows);

  // `newest`: the current window. Windows long past or too far in the future are ignored.
  void Merge(const messages::UsageReport& report, std::int64_t newest);

  messages::WindowCount Tally(std::int64_t window) const;  // ordered by tenant, without zero counts
  std::optional<std::int64_t> OldestWindow() const;        // that has a nonzero count
  std::vector<messages::UsageReport> Reports() const;

 private:
  using Counts = std::map<std::string, std::uint64_t>;  // by tenant
  using Windows = std::map<std::int64_t, Counts>;
  using ProcessId = std::pair<std::string, std::uint64_t>;  // a dispatcher process: name and incarnation

  void RemoveBefore(std::int64_t oldest);

  std::int64_t kept_windows_;
  std::map<ProcessId, Windows> processes_;
  std::int64_t oldest_kept_ = 0;
};

}  // namespace lichenlug::duties
