// The current configuration and the last few before it, so that a difference can be computed from, or applied
// to, any of them that another dispatcher has. Each earlier version is stored as a difference from its
// successor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/follower.h"
#include "configuration/push_codec.h"

namespace lichenlug::configuration {

// Limits for the earlier versions; the oldest are evicted first.
inline constexpr std::size_t kMaxEarlierVersions = 32;
inline constexpr std::size_t kMaxEarlierBytes = 64 << 10;

class KnownVersions {
 public:
  const Follower::Version* current() const { return current_ ? &*current_ : nullptr; }
  std::uint64_t revision() const { return current_ ? current_->revision : 0; }

  // Makes `version`, which must be newer than the current one, the current one.
  void Install(Follower::Version version);

  // Newest first, without the current one.
  std::vector<std::uint64_t> EarlierRevisions() const;
  bool HasEarlier(std::uint64_t revision) const;
  // None if that version is not kept.
  std::optional<std::string> TextOf(std::uint64_t revision) const;
  // From that version to the current one. Null if it is not kept, or if the difference is not much shorter
  // than the complete text.
  const VersionDelta* DifferenceFrom(std::uint64_t revision);

 private:
  struct EarlierVersion {
    std::uint64_t revision = 0;
    messages::TextDelta from_next;  // from the text of the next version installed here
    std::size_t bytes = 0;
  };

  void StoreEarlier(const Follower::Version& earlier, const Follower::Version& next);

  std::optional<Follower::Version> current_;
  std::deque<EarlierVersion> earlier_;  // newest first
  std::size_t earlier_bytes_ = 0;
  std::map<std::uint64_t, std::optional<VersionDelta>> differences_;  // to current_, by base revision
};

}  // namespace lichenlug::configuration
