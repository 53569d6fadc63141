#include "duties/usage_counts.h"

#include <algorithm>

namespace lichenlug::duties {
namespace {

constexpr std::int64_t kMinWindows = 12, kMaxWindows = 64;  // kept windows
constexpr std::int64_t kWindowsAhead = 1;                   // allows for clock skew between dispatchers
constexpr std::size_t kMaxProcesses = 8192;
constexpr std::size_t kMaxTenants = 4096;  // per process and window

}  // namespace

UsageCounts::UsageCounts(std::int64_t kept_windows)
    : kept_windows_(std::clamp(kept_windows, kMinWindows, kMaxWindows)) {}

void UsageCounts::Merge(const messages::UsageReport& report, std::int64_t newest) {
  if (newest - kept_windows_ > oldest_kept_) RemoveBefore(newest - kept_windows_);
  const ProcessId process(report.name(), report.incarnation());
  for (const auto& window : report.windows()) {
    if (window.window() < newest - kept_windows_ || window.window() > newest + kWindowsAhead) continue;
    if (!processes_.contains(process) && processes_.size() >= kMaxProcesses) return;
    Counts& counts = processes_[process][window.window()];
    for (const auto& entry : window.counts()) {
      if (counts.size() >= kMaxTenants && !counts.contains(entry.tenant())) continue;
      std::uint64_t& count = counts[entry.tenant()];
      count = std::max(count, entry.count());
    }
  }
}

void UsageCounts::RemoveBefore(std::int64_t oldest) {
  oldest_kept_ = oldest;
  for (auto& [process, windows] : processes_) windows.erase(windows.begin(), windows.lower_bound(oldest));
  std::erase_if(processes_, [](const auto& entry) { return entry.second.empty(); });
}

messages::WindowCount UsageCounts::Tally(std::int64_t window) const {
  Counts sum;
  for (const auto& [process, windows] : processes_) {
    const auto found = windows.find(window);
    if (found == windows.end()) continue;
    for (const auto& [tenant, count] : found->second) sum[tenant] += count;
  }
  messages::WindowCount tally;
  tally.set_window(window);
  for (const auto& [tenant, count] : sum) {
    if (count == 0) continue;
    auto* entry = tally.add_counts();
    entry->set_tenant(tenant);
    entry->set_count(count);
  }
  return tally;
}

std::optional<std::int64_t> UsageCounts::OldestWindow() const {
  std::optional<std::int64_t> oldest;
  for (const auto& [process, windows] : processes_) {
    for (const auto& [window, counts] : windows) {
      if (std::any_of(counts.begin(), counts.end(), [](const auto& entry) { return entry.second > 0; }))
        oldest = std::min(oldest.value_or(window), window);
    }
  }
  return oldest;
}

std::vector<messages::UsageReport> UsageCounts::Reports() const {
  std::vector<messages::UsageReport> reports;
  for (const auto& [process, windows] : processes_) {
    auto& report = reports.emplace_back();
    report.set_name(process.first);
    report.set_incarnation(process.second);
    for (const auto& [window, counts] : windows) {
      auto* window_counts = report.add_windows();
      window_counts->set_window(window);
      for (const auto& [tenant, count] : counts) {
        auto* entry = window_counts->add_counts();
        entry->set_tenant(tenant);
        entry->set_count(count);
      }
    }
  }
  return reports;
}

}  // namespace lichenlug::duties
