#include "transport/transport.h"

#include <google/protobuf/stubs/logging.h>

#include <utility>

#include "transport/frame_listener.h"
#include "transport/peer_links.h"

namespace lichenlug::transport {
class Transport::Impl {
 public:
  Impl(event_base* base, Settings settings, std::function<void(messages::Envelope)> receive)
      : settings_(std::move(settings)),
        receive_(std::move(receive)),
        links_(base, settings_.max_peers),
        listener_(
            base,
            {settings_.max_message_bytes, settings_.max_incoming_connections, settings_.max_unfinished_bytes},
            [this](std::span<const std::byte> bytes) { OnBytes(bytes); }) {
    FillInSender(&acknowledgement_);
  }

  bool Listen(std::string* error) { return listener_.Listen(settings_.listen_address, error); }

  void Send(const std::string& address, messages::Envelope envelope) {
    if (address == settings_.listen_address) return;
    FillInSender(&envelope);
    links_.Send(address, envelope);
  }

  void Forget(const std::string& address) { links_.Forget(address); }

  Statistics statistics() const {
    return {.sent = links_.counters().sent,
            .dropped = links_.counters().dropped,
            .received = received_,
            .unreadable = unreadable_,
            .other_versions = other_versions_,
            .reopens = links_.counters().reopens,
            .peers = links_.size()};
  }

 private:
  void FillInSender(messages::Envelope* envelope) const {
    envelope->set_protocol_version(kProtocolVersion);
    envelope->set_sender_name(settings_.sender_name);
    envelope->set_sender_incarnation(settings_.sender_incarnation);
    envelope->set_sender_address(settings_.listen_address);
  }

  void OnBytes(std::span<const std::byte> bytes) {
    messages::Envelope envelope;
    const google::protobuf::LogSilencer silence;  // unreadable messages are counted instead
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      ++unreadable_;
    } else if (envelope.protocol_version() != kProtocolVersion) {
      ++other_versions_;
    } else if (envelope.sender_name().empty() || !ParseAddress(envelope.sender_address()) ||
               envelope.sender_address() == settings_.listen_address) {
      ++unreadable_;
    } else {
      OnEnvelope(std::move(envelope));
    }
  }

  // An envelope without a body is an acknowledgement that shows that the link works; it is not acknowledged.
  void OnEnvelope(messages::Envelope envelope) {
    const bool has_body = envelope.body_case() != messages::Envelope::BODY_NOT_SET;
    links_.Received(envelope.sender_address(), has_body ? &acknowledgement_ : nullptr);
    if (!has_body) return;
    ++received_;
    receive_(std::move(envelope));
  }

  const Settings settings_;
  const std::function<void(messages::Envelope)> receive_;
  messages::Envelope acknowledgement_;
  std::uint64_t received_ = 0, unreadable_ = 0, other_versions_ = 0;
  PeerLinks links_;
  FrameListener listener_;  // last member: destroyed first
};

Transport::Transport(event_base* base, Settings settings, std::function<void(messages::Envelope)> receive)
    : impl_(std::make_unique<Impl>(base, std::move(settings), std::move(receive))) {}
Transport::~Transport() = default;

bool Transport::Listen(std::string* error) { return impl_->Listen(error); }
void Transport::Send(const std::string& address, messages::Envelope envelope) {
  impl_->Send(address, std::move(envelope));
}
void Transport::Forget(const std::string& address) { impl_->Forget(address); }
Transport::Statistics Transport::statistics() const { return impl_->statistics(); }

}  // namespace lichenlug::transport
