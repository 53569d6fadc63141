// The configuration in force here and the few before it, so that a difference can be made from, and applied
// to, whichever of them another dispatcher holds. Earlier ones are kept as differences backwards.
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

// Bounds of what is kept of earlier versions; the oldest go first.
inline constexpr std::size_t kMaxEarlierVersions = 32;
inline constexpr std::size_t kMaxEarlierBytes = 64 << 10;

class KnownVersions {
 public:
  const Follower::Version* current() const { return current_ ? &*current_ : nullptr; }
  std::uint64_t revision() const { return current_ ? current_->revision : 0; }

  // The version, which is newer than the current one, is the current one from now on.
  void Install(Follower::Version version);

  // Newest first, the current one left out.
  std::vector<std::uint64_t> EarlierRevisions() const;
  bool Holds(std::uint64_t revision) const;
  // None where that version is not kept.
  std::optional<std::string> TextOf(std::uint64_t revision) const;
  // From that version to the current one. Null where it is not kept, or where the whole is hardly longer.
  const VersionDelta* DifferenceFrom(std::uint64_t revision);

 private:
  struct Earlier {
    std::uint64_t revision = 0;
    messages::TextDelta from_next;  // from the text of the version that followed here
    std::size_t bytes = 0;
  };

  void KeepEarlier(const Follower::Version& earlier, const Follower::Version& next);

  std::optional<Follower::Version> current_;
  std::deque<Earlier> earlier_;  // newest first
  std::size_t earlier_bytes_ = 0;
  std::map<std::uint64_t, std::optional<VersionDelta>> differences_;  // to the current one, by base
};

}  // namespace lichenlug::configuration
