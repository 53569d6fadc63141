// The internal transport: nng push sockets to each peer, one pull socket. Messages may be lost, doubled or
// late; they are never altered and never block the caller. A peer that takes nothing loses messages, not
// time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "messages/generated/envelope.pb.h"

namespace lichenlug::transport {

inline constexpr std::uint32_t kProtocolVersion = 1;

class Transport {
 public:
  struct Settings {
    std::string listen_address;  // "ip:port"
    std::string sender_name;
    std::uint64_t sender_incarnation = 0;
    std::size_t longest_message = 8u << 20;
    std::size_t most_peers = 256;
  };
  // `receive` runs on the transport's thread, for each message that can be read and is of this protocol
  // version.
  Transport(Settings settings, std::function<void(messages::Envelope)> receive);
  ~Transport();

  bool Listen(std::string* error);                                     // one line with the remedy
  void Send(const std::string& address, messages::Envelope envelope);  // from one thread; fills in the sender
  void Forget(const std::string& address);  // the peer is dead: its connection is closed

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::transport
