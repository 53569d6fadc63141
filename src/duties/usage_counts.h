// What dispatchers counted, by window and tenant. Reports are cumulative within a life of a dispatcher, so
// the greatest count of a life is the truth, and lives add up; merging a report again changes nothing.
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

  // `newest`: the window that runs now. Windows long past, and those that have yet to come, are left out.
  void Merge(const messages::UsageReport& report, std::int64_t newest);

  messages::WindowCount Tally(std::int64_t window) const;  // by name of tenant, none with 0
  std::optional<std::int64_t> OldestWindow() const;        // with any count
  std::vector<messages::UsageReport> Reports() const;

 private:
  using Counts = std::map<std::string, std::uint64_t>;  // by tenant
  using Windows = std::map<std::int64_t, Counts>;
  using Life = std::pair<std::string, std::uint64_t>;  // of a dispatcher: name and incarnation

  void DropBefore(std::int64_t oldest);

  std::int64_t kept_windows_;
  std::map<Life, Windows> lives_;
  std::int64_t oldest_kept_ = 0;
};

}  // namespace lichenlug::duties
