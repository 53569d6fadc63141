#include "transport/transport.h"

#include <google/protobuf/stubs/logging.h>

#include <atomic>
#include <utility>

#include "transport/peer_links.h"
#include "transport/pull_listener.h"

namespace lichenlug::transport {
namespace {

// "ip:port" with a numeric IPv4 address: nothing that would need a resolver.
bool IsNumericAddress(const std::string& address) {
  return address.find(':') != std::string::npos &&
         address.find_first_not_of("0123456789.:") == std::string::npos;
}

}  // namespace

class Transport::Impl {
 public:
  Impl(Settings settings, std::function<void(messages::Envelope)> receive)
      : settings_(std::move(settings)),
        receive_(std::move(receive)),
        links_(settings_.most_peers),
        listener_([this](std::span<const std::byte> bytes) { OnBytes(bytes); }) {
    FillInSender(&answer_);
  }

  bool Listen(std::string* error) {
    return listener_.Listen(settings_.listen_address, settings_.longest_message, error);
  }

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
            .renewals = links_.counters().renewals,
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
    const google::protobuf::LogSilencer silence;  // what can't be read is counted
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      ++unreadable_;
    } else if (envelope.protocol_version() != kProtocolVersion) {
      ++other_versions_;
    } else if (envelope.sender_name().empty() || !IsNumericAddress(envelope.sender_address()) ||
               envelope.sender_address() == settings_.listen_address) {
      ++unreadable_;
    } else {
      OnEnvelope(std::move(envelope));
    }
  }

  // An envelope without a body is an answer that only shows that the link works; it gets no answer itself.
  void OnEnvelope(messages::Envelope envelope) {
    const bool has_body = envelope.body_case() != messages::Envelope::BODY_NOT_SET;
    links_.Received(envelope.sender_address(), has_body ? &answer_ : nullptr);
    if (!has_body) return;
    ++received_;
    receive_(std::move(envelope));
  }

  const Settings settings_;
  const std::function<void(messages::Envelope)> receive_;
  messages::Envelope answer_;
  std::atomic<std::uint64_t> received_ = 0, unreadable_ = 0, other_versions_ = 0;
  PeerLinks links_;
  PullListener listener_;  // last: it is closed first
};

Transport::Transport(Settings settings, std::function<void(messages::Envelope)> receive)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(receive))) {}
Transport::~Transport() = default;

bool Transport::Listen(std::string* error) { return impl_->Listen(error); }
void Transport::Send(const std::string& address, messages::Envelope envelope) {
  impl_->Send(address, std::move(envelope));
}
void Transport::Forget(const std::string& address) { impl_->Forget(address); }
Transport::Statistics Transport::statistics() const { return impl_->statistics(); }

}  // namespace lichenlug::transport
