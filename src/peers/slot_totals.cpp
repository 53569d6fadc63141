#include "peers/slot_totals.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lichenlug {

void AppendEntry(std::string* bytes, ShortId runner, int value) {
  *bytes += static_cast<char>(runner >> 4);
  *bytes += static_cast<char>((runner & 0xf) << 4 | value);
}

std::uint16_t EntryAt(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[at]) << 8 |
                                    static_cast<std::uint8_t>(bytes[at + 1]));
}

int ToWireSlots(double slots) {
  return static_cast<int>(std::lround(std::clamp(slots, 0.0, static_cast<double>(kMaxSlots))));
}

ShortId SlotTotals::ToShortId(std::string_view runner) {
  return static_cast<ShortId>(XXH64(runner.data(), runner.size(), 0) & 0xfff);
}

void SlotTotals::RegisterRunner(const std::string& runner, int zone) {
  const ShortId id = ToShortId(runner);
  runners_[id][runner] = zone_ == kNoZone || zone < 0 || zone >= kNoZone ? zone_ : zone;
  const auto total = totals_.find(id);
  if (total != totals_.end()) observer_->Held(runner, total->second);
}

void SlotTotals::RemoveRunner(const std::string& runner) {
  const auto runners = runners_.find(ToShortId(runner));
  if (runners != runners_.end() && runners->second.erase(runner) > 0 && runners->second.empty())
    runners_.erase(runners);
}

int SlotTotals::ZoneOf(const std::string& runner) const {
  const auto runners = runners_.find(ToShortId(runner));
  if (runners == runners_.end()) return zone_;
  const auto zone = runners->second.find(runner);
  return zone == runners->second.end() ? zone_ : zone->second;
}

void SlotTotals::Add(ShortId runner, int slots) {
  if (slots == 0) return;
  const int sum = totals_[runner] += slots;
  if (sum == 0) totals_.erase(runner);
  const auto runners = runners_.find(runner);
  if (runners == runners_.end()) return;
  for (const auto& [name, zone] : runners->second) observer_->Held(name, sum);
}

void SlotTotals::Republish(ShortId runner) {
  const auto runners = runners_.find(runner);
  const auto total = totals_.find(runner);
  if (runners != runners_.end())
    observer_->Held(runners->second.begin()->first, total == totals_.end() ? 0 : total->second);
}

bool SlotTotals::RecordFailure(std::uint16_t entry, int peer, Time now) {
  auto& [last_peer, reported_at] = failures_[entry];
  const bool agreed = reported_at != 0 && last_peer != peer && now - reported_at < kAgreementWindow;
  last_peer = peer, reported_at = now;
  return agreed;
}

void SlotTotals::ReportFailing(std::uint16_t entry) {
  const auto runners = runners_.find(entry >> 4);
  if (runners != runners_.end() && runners->second.size() == 1)
    observer_->Failing(runners->second.begin()->first, (entry & 0xf) - kFailureBase);
}

void SlotTotals::ExpireEntries(Time now) {
  std::erase_if(failures_,
                [now](const auto& entry) { return now - entry.second.second >= kAgreementWindow; });
}

}  // namespace lichenlug
