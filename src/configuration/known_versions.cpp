#include "configuration/known_versions.h"

#include <algorithm>
#include <utility>

#include "delta/text_delta.h"

namespace lichenlug::configuration {

void KnownVersions::Install(Follower::Version version) {
  differences_.clear();
  if (current_) StoreEarlier(*current_, version);
  current_ = std::move(version);
}

void KnownVersions::StoreEarlier(const Follower::Version& earlier, const Follower::Version& next) {
  EarlierVersion entry{earlier.revision, lichenlug::delta::MakeDelta(next.json, earlier.json), 0};
  entry.bytes = entry.from_next.ByteSizeLong();
  earlier_bytes_ += entry.bytes;
  earlier_.push_front(std::move(entry));
  while (earlier_.size() > kMaxEarlierVersions || earlier_bytes_ > kMaxEarlierBytes) {
    earlier_bytes_ -= earlier_.back().bytes;
    earlier_.pop_back();
  }
}

std::vector<std::uint64_t> KnownVersions::EarlierRevisions() const {
  std::vector<std::uint64_t> revisions;
  for (const EarlierVersion& earlier : earlier_) revisions.push_back(earlier.revision);
  return revisions;
}

bool KnownVersions::HasEarlier(std::uint64_t revision) const {
  return std::any_of(earlier_.begin(), earlier_.end(),
                     [&](const EarlierVersion& earlier) { return earlier.revision == revision; });
}

std::optional<std::string> KnownVersions::TextOf(std::uint64_t revision) const {
  if (!current_) return std::nullopt;
  if (revision == current_->revision) return current_->json;
  if (!HasEarlier(revision)) return std::nullopt;
  std::string text = current_->json;
  for (const EarlierVersion& earlier : earlier_) {
    auto before = lichenlug::delta::ApplyDelta(text, earlier.from_next, kMaxJsonBytes);
    if (!before) return std::nullopt;
    text = std::move(*before);
    if (earlier.revision == revision) return text;
  }
  return std::nullopt;
}

const VersionDelta* KnownVersions::DifferenceFrom(std::uint64_t revision) {
  if (!current_ || !HasEarlier(revision)) return nullptr;
  const auto [found, is_new] = differences_.try_emplace(revision);
  if (is_new) {
    if (const auto base = TextOf(revision)) found->second = MakeDeltaIfWorthwhile(revision, *base, *current_);
  }
  return found->second ? &*found->second : nullptr;
}

}  // namespace lichenlug::configuration
