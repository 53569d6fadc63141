#include "placement/missing_watch.h"

namespace lichenlug::placement {
namespace {

constexpr Time kReportAfter = 3 * kSecond;  // longer than most loads take

}  // namespace

std::vector<MissingWatch::Notice> MissingWatch::NewlyLong(Time now, const std::set<Key>& missing) {
  std::vector<Notice> notices;
  for (const Key& key : missing) {
    Entry& entry = entries_.try_emplace(key, Entry{now}).first->second;
    if (entry.reported || now - entry.since < kReportAfter) continue;
    entry.reported = true;
    notices.push_back({key, now - entry.since});
  }
  return notices;
}

}  // namespace lichenlug::placement
