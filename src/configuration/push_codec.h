// Encodes versions of the configuration as messages between dispatchers, and decodes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/follower.h"

namespace lichenlug::configuration {

inline constexpr std::size_t kMaxJsonBytes = 64 << 20;

// The difference between a version and an earlier one.
struct VersionDelta {
  std::uint64_t base_revision = 0;
  messages::TextDelta delta;
};

messages::DistributionMessage PollMessage(std::uint64_t revision);
// Answers a push of a difference whose base is not kept here. `earlier` are the revisions that are kept.
messages::DistributionMessage MissingBaseMessage(std::uint64_t revision,
                                                 const std::vector<std::uint64_t>& earlier);
messages::DistributionMessage AckMessage(std::uint64_t revision);
// A push of the difference, or of the complete version if `difference` is null.
messages::DistributionMessage PushMessage(const Follower::Version& version, const VersionDelta* difference);

// The difference, if it is so much shorter than the complete text that it should be sent instead.
std::optional<VersionDelta> MakeDeltaIfWorthwhile(std::uint64_t base_revision, std::string_view base,
                                                  const Follower::Version& version);

enum class PushFault { kNone, kNoBase, kDamaged };
struct ReadPushResult {
  PushFault fault = PushFault::kNone;
  Follower::Version version;  // if fault is kNone
};
// `base`: the text that the difference refers to, if it is kept here; ignored for a complete version.
ReadPushResult ReadPush(const messages::ConfigurationPush& push, const std::optional<std::string>& base);

// Parses and validates the text of a version; none if it is invalid or has another edition.
std::optional<Follower::Version> ReadVersion(std::uint64_t revision, std::int64_t edition,
                                             std::string_view json);

}  // namespace lichenlug::configuration
