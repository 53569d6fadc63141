#include "registry/end_records.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace lichenlug::registry {
namespace {

constexpr std::string_view kKeyPrefix = "runner-end/";

std::optional<messages::RunnerRecord> ReadEnd(const std::string& value, Time wall_now) {
  messages::StoredRunnerEnd stored;
  if (!stored.ParseFromString(value) || stored.record().runner_id().empty()) return std::nullopt;
  // The wall clock may have been set back since.
  const Time ended_ms_ago = std::max<Time>(0, wall_now / kMillisecond - stored.ended_at_ms());
  stored.mutable_record()->set_ended_ms_ago(ended_ms_ago);
  return stored.record();
}

}  // namespace

std::string EndKey(const std::string& runner_id) { return std::string(kKeyPrefix) + runner_id; }

std::string EndValue(const messages::RunnerRecord& end, Time wall_now) {
  messages::StoredRunnerEnd stored;
  *stored.mutable_record() = end;
  stored.mutable_record()->clear_ended_ms_ago();
  stored.set_ended_at_ms(wall_now / kMillisecond - end.ended_ms_ago());
  return stored.SerializeAsString();
}

StoredEnds ExtractEnds(std::vector<std::pair<std::string, std::string>>* records, Time wall_now) {
  StoredEnds stored;
  std::erase_if(*records, [&](const auto& entry) {
    const auto& [key, value] = entry;
    if (!key.starts_with(kKeyPrefix)) return false;
    if (const auto end = ReadEnd(value, wall_now))
      stored.ends.push_back(*end);
    else
      stored.unreadable_keys.push_back(key);
    return true;
  });
  return stored;
}

}  // namespace lichenlug::registry
