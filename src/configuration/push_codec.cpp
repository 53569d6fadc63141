#include "configuration/push_codec.h"

#include <utility>
#include <variant>

#include "configuration/digest.h"
#include "delta/text_delta.h"

namespace lichenlug::configuration {
namespace {

using messages::ConfigurationPush;
using messages::DistributionMessage;

constexpr std::size_t kMinSizeRatio = 2;  // a difference is sent if at most half the complete text's size

std::uint64_t VersionDigest(std::uint64_t revision, std::int64_t edition, std::string_view json) {
  return Digester().Number(revision).Number(static_cast<std::uint64_t>(edition)).Text(json).Result();
}

}  // namespace

DistributionMessage PollMessage(std::uint64_t revision) {
  DistributionMessage message;
  message.mutable_poll()->set_revision(revision);
  return message;
}

DistributionMessage MissingBaseMessage(std::uint64_t revision, const std::vector<std::uint64_t>& earlier) {
  DistributionMessage message = PollMessage(revision);
  message.mutable_poll()->set_lacks_base(true);
  for (const std::uint64_t held : earlier) message.mutable_poll()->add_earlier(held);
  return message;
}

DistributionMessage AckMessage(std::uint64_t revision) {
  DistributionMessage message;
  message.mutable_ack()->set_revision(revision);
  return message;
}

DistributionMessage PushMessage(const Follower::Version& version, const VersionDelta* difference) {
  DistributionMessage message;
  ConfigurationPush* push = message.mutable_push();
  push->set_revision(version.revision);
  push->set_edition(version.edition);
  push->set_digest(VersionDigest(version.revision, version.edition, version.json));
  if (difference == nullptr) {
    push->set_json(version.json);
    return message;
  }
  push->set_base_revision(difference->base_revision);
  *push->mutable_delta() = difference->delta;
  return message;
}

std::optional<VersionDelta> MakeDeltaIfWorthwhile(std::uint64_t base_revision, std::string_view base,
                                                  const Follower::Version& version) {
  VersionDelta result{base_revision, lichenlug::delta::MakeDelta(base, version.json)};
  if (result.delta.ByteSizeLong() * kMinSizeRatio > version.json.size()) return std::nullopt;
  return result;
}

ReadPushResult ReadPush(const ConfigurationPush& push, const std::optional<std::string>& base) {
  std::optional<std::string> patched;
  if (push.has_delta()) {
    if (!base) return {PushFault::kNoBase, {}};
    patched = lichenlug::delta::ApplyDelta(*base, push.delta(), kMaxJsonBytes);
    if (!patched) return {PushFault::kDamaged, {}};
  }
  const std::string& json = patched ? *patched : push.json();
  if (push.digest() != VersionDigest(push.revision(), push.edition(), json)) return {PushFault::kDamaged, {}};
  auto version = ReadVersion(push.revision(), push.edition(), json);
  if (!version) return {PushFault::kDamaged, {}};
  return {PushFault::kNone, std::move(*version)};
}

std::optional<Follower::Version> ReadVersion(std::uint64_t revision, std::int64_t edition,
                                             std::string_view json) {
  auto parsed = Parse(json);
  auto* valid = std::get_if<Parsed>(&parsed);
  if (!valid || valid->configuration->edition() != edition) return std::nullopt;
  return Follower::Version{revision, edition, std::move(valid->json), std::move(valid->configuration)};
}

}  // namespace lichenlug::configuration
