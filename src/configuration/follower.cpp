#include "configuration/follower.h"

#include <algorithm>
#include <utility>

#include "configuration/digest.h"
#include "configuration/peers.h"
#include "configuration/push_codec.h"
#include "configuration/push_schedule.h"

namespace lichenlug::configuration {
namespace {

using messages::DistributionMessage;

// Between two questions for a newer version: several may tell of the same one at once.
constexpr Time kPullPause = 100 * kMillisecond;
constexpr Time kTransferOf1000Bytes = 800;  // on the slowest links, 10 Mbit/s

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
      auto delta = current_ ? WorthwhileDelta(*current_, *version) : std::nullopt;
      Install(std::move(*version), std::move(delta), Arrival::kRegister, output);
    }
    if (push && current_ && state.revision() == Revision()) Publish(now, output);
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
        if (message.ack().revision() > Revision()) Pull(now, from, false, output);
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
    next_poll_ = now + settings_.poll_every;
    const std::string address = peers_.NextToPoll();
    if (!address.empty()) output->sends.push_back({address, PollMessage(Revision(), false)});
  }

  std::optional<Time> NextTimer() const {
    const std::optional<Time> next_push = schedule_.NextTimer();
    if (!next_poll_ || !next_push) return next_poll_ ? next_poll_ : next_push;
    return std::min(*next_poll_, *next_push);
  }

  const Version* Current() const { return current_ ? &*current_ : nullptr; }
  const FollowerStatistics& statistics() const { return statistics_; }

 private:
  std::uint64_t Revision() const { return current_ ? current_->revision : 0; }
  Time PollDelay() {
    return static_cast<Time>(peers_.RandomBelow(static_cast<std::uint64_t>(settings_.poll_every) + 1));
  }

  void ReceivePoll(Time now, const std::string& from, const messages::ConfigurationPoll& poll,
                   FollowerOutput* output) {
    if (poll.revision() > Revision()) return Pull(now, from, false, output);
    if (poll.revision() == Revision()) return;
    if (poll.whole()) {
      SendPush(from, WholePush(*current_, false), output);
    } else if (!schedule_.UnderWay(now, from)) {
      const bool fits = delta_ && delta_->base_revision == poll.revision();
      SendPush(from, fits ? DeltaPush(*current_, *delta_, false) : WholePush(*current_, false), output);
    }
  }

  // Installs a push that is newer and whole, and answers it. One that is damaged gets no answer, so it is
  // sent again.
  void ReceivePush(Time now, const std::string& from, const messages::ConfigurationPush& push,
                   FollowerOutput* output) {
    if (push.revision() > Revision()) {
      ReadPushResult result = ReadPush(push, Current());
      if (result.fault == PushFault::kDamaged) ++statistics_.damaged;
      if (result.fault == PushFault::kNoBase) {
        ++statistics_.no_base;
        Pull(now, from, true, output);
      }
      if (result.fault != PushFault::kNone) {
        if (push.relay()) relay_wanted_ = push.revision();
        return;
      }
      const Arrival arrival = push.has_delta() ? Arrival::kDifference : Arrival::kWhole;
      Install(std::move(result.version), DeltaOf(push), arrival, output);
    } else {
      ++statistics_.stale;
    }
    output->sends.push_back({from, AckMessage(Revision())});
    const bool relay = push.relay() || relay_wanted_ == Revision();
    if (relay && push.revision() == Revision()) RelayInZone(now, from, output);
  }

  // What came as a difference is passed on as one.
  static std::optional<VersionDelta> DeltaOf(const messages::ConfigurationPush& push) {
    if (!push.has_delta()) return std::nullopt;
    return VersionDelta{push.base_revision(), push.delta()};
  }

  void Install(Version version, std::optional<VersionDelta> delta, Arrival arrival, FollowerOutput* output) {
    current_ = std::move(version);
    delta_ = std::move(delta);
    schedule_.Begin(current_->revision);
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
      for (const std::string& address : peers_.AddressesIn(settings_.zone)) {
        if (address != except) schedule_.AddDirect(now, address);
      }
    }
    SendDue(now, output);
  }

  void SendDue(Time now, FollowerOutput* output) {
    if (!current_) return;
    const std::size_t bytes = delta_ ? delta_->delta.ByteSizeLong() : current_->json.size();
    const Time transfer = static_cast<Time>(bytes) * kTransferOf1000Bytes / 1000;
    for (const auto& due : schedule_.TakeDue(now, peers_, transfer)) {
      SendPush(due.address,
               delta_ ? DeltaPush(*current_, *delta_, due.relay) : WholePush(*current_, due.relay), output);
    }
  }

  void Pull(Time now, const std::string& from, bool whole, FollowerOutput* output) {
    if (last_pull_ && now < *last_pull_ + kPullPause) return;
    last_pull_ = now;
    output->sends.push_back({from, PollMessage(Revision(), whole)});
  }

  FollowerSettings settings_;
  Peers peers_;
  PushSchedule schedule_;
  FollowerStatistics statistics_;
  std::optional<Version> current_;
  std::optional<VersionDelta> delta_;          // from the version before
  std::uint64_t published_ = 0, relayed_ = 0;  // newest revisions sent on from here
  std::uint64_t relay_wanted_ = 0;             // to be relayed once it is here
  std::optional<Time> next_poll_, last_pull_;
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
