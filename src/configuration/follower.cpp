#include "configuration/follower.h"

#include <algorithm>
#include <utility>

#include "configuration/digest.h"
#include "configuration/known_versions.h"
#include "configuration/peers.h"
#include "configuration/push_codec.h"
#include "configuration/push_schedule.h"

namespace lichenlug::configuration {
namespace {

using messages::DistributionMessage;

// Minimum time between two pulls: several peers may announce the same version at once.
constexpr Time kMinPullInterval = 100 * kMillisecond;
constexpr Time kSlowLinkTimePer1000Bytes = 800;  // on the slowest supported links, 10 Mbit/s
constexpr Time kWholeReplySpacingFactor = 4;     // complete answers to polls use at most 1/4 of a slow link

}  // namespace

class Follower::Impl {
 public:
  explicit Impl(FollowerSettings settings)
      : settings_(std::move(settings)),
        peers_(Digester().Number(settings_.seed).Text(settings_.self_name).Result()) {}

  void Learn(Time now, const messages::ConfigurationState& state, bool push, FollowerOutput* output) {
    if (state.revision() > Revision()) {
      auto version = ReadVersion(state.revision(), state.edition(), state.json());
      if (!version) {
        ++statistics_.damaged;
        return;
      }
      Install(std::move(*version), Revision(), Arrival::kRegister, output);
    }
    if (push && state.revision() > 0 && state.revision() == Revision()) Publish(now, output);
  }

  void Receive(Time now, const std::string& from, const DistributionMessage& message,
               FollowerOutput* output) {
    switch (message.body_case()) {
      case DistributionMessage::kPoll:
        return ReceivePoll(now, from, message.poll(), output);
      case DistributionMessage::kPush:
        return ReceivePush(now, from, message.push(), output);
      case DistributionMessage::kAck:
        if (message.ack().revision() >= Revision()) schedule_.Acknowledge(from);
        if (message.ack().revision() > Revision()) Pull(now, from, PollMessage(Revision()), output);
        return;
      case DistributionMessage::BODY_NOT_SET:
        return;
    }
  }

  void SetMembers(Time now, const std::vector<Member>& live) {
    peers_.Set(live);
    if (!next_poll_ && !live.empty()) next_poll_ = now + PollDelay();
  }

  void Tick(Time now, FollowerOutput* output) {
    SendDue(now, output);
    if (!next_poll_ || *next_poll_ > now) return;
    next_poll_ = now + settings_.poll_interval;
    const std::string address = peers_.NextToPoll();
    if (!address.empty()) output->sends.push_back({address, PollMessage(Revision())});
  }

  std::optional<Time> NextTimer() const {
    const std::optional<Time> next_push = schedule_.NextTimer();
    if (!next_poll_ || !next_push) return next_poll_ ? next_poll_ : next_push;
    return std::min(*next_poll_, *next_push);
  }

  const Version* Current() const { return versions_.current(); }
  const FollowerStatistics& statistics() const { return statistics_; }

 private:
  // The recipients that a push asks this dispatcher to relay it to.
  struct RelayRequest {
    std::uint64_t revision = 0;
    bool in_zone = false;
    std::vector<std::string> to;
  };

  std::uint64_t Revision() const { return versions_.revision(); }
  Time PollDelay() {
    return static_cast<Time>(peers_.RandomBelow(static_cast<std::uint64_t>(settings_.poll_interval) + 1));
  }

  void ReceivePoll(Time now, const std::string& from, const messages::ConfigurationPoll& poll,
                   FollowerOutput* output) {
    if (poll.revision() > Revision()) return Pull(now, from, PollMessage(Revision()), output);
    if (poll.revision() == Revision()) return;
    if (!poll.lacks_base() && schedule_.InFlight(now, from)) return;
    const VersionDelta* difference = versions_.DifferenceFrom(CommonBase(poll));
    if (difference == nullptr && !MaySendWholeReply(now)) return;
    SendPush(from, PushMessage(*versions_.current(), difference), output);
  }

  // Limits the rate of complete configurations sent in answer to polls, to leave most of a slow link to
  // pushes. A poll without an answer is repeated, to another dispatcher.
  bool MaySendWholeReply(Time now) {
    if (now < next_whole_reply_) return false;
    next_whole_reply_ =
        now + SlowLinkTransferTime(versions_.current()->json.size()) * kWholeReplySpacingFactor;
    return true;
  }

  // The newest version that both the sender of the poll and this dispatcher keep; 0 if there is none.
  std::uint64_t CommonBase(const messages::ConfigurationPoll& poll) const {
    if (versions_.HasEarlier(poll.revision())) return poll.revision();
    std::uint64_t newest = 0;
    for (const std::uint64_t revision : poll.earlier()) {
      if (revision > newest && versions_.HasEarlier(revision)) newest = revision;
    }
    return newest;
  }

  // Installs a push if it is newer and intact, and acknowledges it. A damaged push is not acknowledged, so it
  // is sent again.
  void ReceivePush(Time now, const std::string& from, const messages::ConfigurationPush& push,
                   FollowerOutput* output) {
    if (push.revision() > Revision()) {
      ReadPushResult result = ReadPush(push, versions_.TextOf(push.base_revision()));
      if (result.fault == PushFault::kDamaged) ++statistics_.damaged;
      if (result.fault == PushFault::kNoBase) {
        ++statistics_.no_base;
        Pull(now, from, MissingBaseMessage(Revision(), versions_.EarlierRevisions()), output);
      }
      if (result.fault == PushFault::kNoBase) AddPendingRelay(push);
      if (result.fault != PushFault::kNone) return;
      const Arrival arrival = push.has_delta() ? Arrival::kDifference : Arrival::kWhole;
      const std::uint64_t base = push.has_delta() ? push.base_revision() : Revision();
      Install(std::move(result.version), base, arrival, output);
    } else {
      ++statistics_.stale;
    }
    output->sends.push_back({from, AckMessage(Revision())});
    if (push.revision() != Revision() || versions_.current() == nullptr) return;
    if (pending_relay_.revision == Revision()) Relay(now, from, std::exchange(pending_relay_, {}), output);
    Relay(now, from, RelayRequestOf(push), output);
  }

  static RelayRequest RelayRequestOf(const messages::ConfigurationPush& push) {
    return {push.revision(), push.relay(), {push.relay_to().begin(), push.relay_to().end()}};
  }

  // Remembers to relay the push once its version is installed.
  void AddPendingRelay(const messages::ConfigurationPush& push) {
    if (!push.relay() && push.relay_to().empty()) return;
    if (push.revision() != pending_relay_.revision) pending_relay_ = {push.revision(), false, {}};
    pending_relay_.in_zone |= push.relay();
    pending_relay_.to.insert(pending_relay_.to.end(), push.relay_to().begin(), push.relay_to().end());
  }

  void Relay(Time now, const std::string& from, const RelayRequest& request, FollowerOutput* output) {
    schedule_.AddAll(now, request.to, PushTransferTime());
    if (request.in_zone) RelayInZone(now, from, output);
    SendDue(now, output);
  }

  // `base`: the revision that pushes from this dispatcher are a difference from, if it is still kept.
  void Install(Version version, std::uint64_t base, Arrival arrival, FollowerOutput* output) {
    versions_.Install(std::move(version));
    push_base_ = base;
    schedule_.Begin(Revision());
    ++statistics_.installed;
    output->installed = true;
    output->arrival = arrival;
  }

  void SendPush(const std::string& address, DistributionMessage message, FollowerOutput* output) {
    ++(message.push().has_delta() ? statistics_.sent_as_difference : statistics_.sent_whole);
    statistics_.sent_bytes += message.ByteSizeLong();
    output->sends.push_back({address, std::move(message)});
  }

  void Publish(Time now, FollowerOutput* output) {
    if (std::exchange(published_, Revision()) == Revision()) return;
    for (const std::string& zone : peers_.Zones()) {
      if (zone != settings_.zone) schedule_.AddZone(now, zone);
    }
    RelayInZone(now, "", output);
  }

  void RelayInZone(Time now, const std::string& except, FollowerOutput* output) {
    if (std::exchange(relayed_, Revision()) != Revision()) {
      std::vector<std::string> addresses = peers_.AddressesIn(settings_.zone);
      std::erase(addresses, except);
      schedule_.AddAll(now, addresses, PushTransferTime());
    }
    SendDue(now, output);
  }

  // The time that one push takes on a slow link.
  Time PushTransferTime() {
    const VersionDelta* difference = versions_.DifferenceFrom(push_base_);
    const std::size_t bytes =
        difference != nullptr ? difference->delta.ByteSizeLong() : versions_.current()->json.size();
    return SlowLinkTransferTime(bytes);
  }

  static Time SlowLinkTransferTime(std::size_t bytes) {
    return static_cast<Time>(bytes) * kSlowLinkTimePer1000Bytes / 1000;
  }

  void SendDue(Time now, FollowerOutput* output) {
    if (!versions_.current()) return;
    for (const auto& due : schedule_.TakeDue(now, peers_, PushTransferTime())) {
      DistributionMessage message = PushMessage(*versions_.current(), versions_.DifferenceFrom(push_base_));
      message.mutable_push()->set_relay(due.relay);
      message.mutable_push()->mutable_relay_to()->Add(due.relay_to.begin(), due.relay_to.end());
      SendPush(due.address, std::move(message), output);
    }
  }

  void Pull(Time now, const std::string& from, DistributionMessage poll, FollowerOutput* output) {
    if (last_pull_ && now < *last_pull_ + kMinPullInterval) return;
    last_pull_ = now;
    output->sends.push_back({from, std::move(poll)});
  }

  FollowerSettings settings_;
  Peers peers_;
  PushSchedule schedule_;
  FollowerStatistics statistics_;
  KnownVersions versions_;
  std::uint64_t push_base_ = 0;
  std::uint64_t published_ = 0, relayed_ = 0;  // newest revisions sent by this dispatcher
  RelayRequest pending_relay_;
  std::optional<Time> next_poll_, last_pull_;
  Time next_whole_reply_ = 0;
};

Follower::Follower(FollowerSettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Follower::~Follower() = default;

void Follower::Learn(Time now, const messages::ConfigurationState& state, bool push, FollowerOutput* output) {
  impl_->Learn(now, state, push, output);
}
void Follower::Receive(Time now, const std::string& from_address, const DistributionMessage& message,
                       FollowerOutput* output) {
  impl_->Receive(now, from_address, message, output);
}
void Follower::SetMembers(Time now, const std::vector<Member>& live) { impl_->SetMembers(now, live); }
void Follower::Tick(Time now, FollowerOutput* output) { impl_->Tick(now, output); }
std::optional<Time> Follower::NextTimer() const { return impl_->NextTimer(); }
const Follower::Version* Follower::Current() const { return impl_->Current(); }
const FollowerStatistics& Follower::statistics() const { return impl_->statistics(); }

}  // namespace lichenlug::configuration
