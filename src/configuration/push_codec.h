// Versions of the configuration as messages between dispatchers.
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

// How a version came out of an earlier one.
struct VersionDelta {
  std::uint64_t base_revision = 0;
  messages::TextDelta delta;
};

messages::DistributionMessage PollMessage(std::uint64_t revision);
// Asks for what a push of a difference did not bring, as its base is not here; `earlier` are.
messages::DistributionMessage BaseIsLacking(std::uint64_t revision,
                                            const std::vector<std::uint64_t>& earlier);
messages::DistributionMessage AckMessage(std::uint64_t revision);
// As a difference, or whole where there is none.
messages::DistributionMessage PushMessage(const Follower::Version& version, const VersionDelta* difference);

// The difference, where it is worth sending instead of the whole.
std::optional<VersionDelta> WorthwhileDelta(std::uint64_t base_revision, std::string_view base,
                                            const Follower::Version& version);

enum class PushFault { kNone, kNoBase, kDamaged };
struct ReadPushResult {
  PushFault fault = PushFault::kNone;
  Follower::Version version;  // without a fault
};
// `base`: the text that a difference is from, where it is known here; not looked at for a whole version.
ReadPushResult ReadPush(const messages::ConfigurationPush& push, const std::optional<std::string>& base);

// The version of a register's state; none where it can't be read.
std::optional<Follower::Version> ReadVersion(std::uint64_t revision, std::int64_t edition,
                                             std::string_view json);

}  // namespace lichenlug::configuration
