#include "node/founding_records.h"

#include <optional>

#include "consensus/founding.h"

namespace lichenlug::node {

namespace {

constexpr const char* kFoundingGroupKey =
    "system/founding_group";  // written by earlier versions: only the group

std::optional<messages::FoundingRecord> ReadFoundingRecord(const std::string& key, const std::string& value) {
  messages::FoundingRecord record;
  if (key == kFoundingKey) return record.ParseFromString(value) ? std::optional(record) : std::nullopt;
  messages::ReplicaGroup group;
  if (key != kFoundingGroupKey || !group.ParseFromString(value)) return std::nullopt;
  messages::Founding* founding = record.mutable_founding();
  founding->mutable_ballot()->set_round(consensus::kFirstStartRound);
  *founding->mutable_seats() = group.members();
  *founding->mutable_group() = std::move(group);
  record.set_established(true);
  return record;
}

}  // namespace

messages::FoundingRecord ExtractFoundingRecord(std::vector<std::pair<std::string, std::string>>* records) {
  messages::FoundingRecord found;
  std::erase_if(*records, [&](const auto& entry) {
    const bool is_founding = entry.first == kFoundingKey || entry.first == kFoundingGroupKey;
    if (!is_founding) return false;
    const auto record = ReadFoundingRecord(entry.first, entry.second);
    const bool is_newer = entry.first == kFoundingKey || !found.has_founding();
    if (record && is_newer) found = *record;
    return true;
  });
  return found;
}

}  // namespace lichenlug::node
