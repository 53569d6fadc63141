// The internal transport between dispatchers: one outgoing TCP connection per peer and one listener, on the
// event loop of the caller. Messages may be lost or delayed, but are never altered and never block the
// caller. Messages to a peer that does not read are dropped.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "messages/generated/envelope.pb.h"

struct event_base;

namespace lichenlug::transport {

inline constexpr std::uint32_t kProtocolVersion = 1;

class Transport {
 public:
  struct Settings {
    std::string listen_address;  // "ip:port"
    std::string sender_name;
    std::uint64_t sender_incarnation = 0;
    std::size_t max_message_bytes = 8u << 20;
    std::size_t max_peers = 256;
    std::size_t max_incoming_connections = 1024;
    std::size_t max_unfinished_bytes = 32u
                                       << 20;  // of messages that have arrived in part, on all connections
  };
  struct Statistics {
    std::uint64_t sent = 0;            // handed to a connection
    std::uint64_t dropped = 0;         // the connection's buffer was full, or there is no connection
    std::uint64_t received = 0;        // passed to `receive`
    std::uint64_t unreadable = 0;      // received, but not a valid envelope or without a sender
    std::uint64_t other_versions = 0;  // received with another protocol version
    std::uint64_t reopens = 0;         // connections that were reopened
    std::size_t peers = 0;             // that have a connection now
  };
  // All calls, also those of `receive`, are on the thread of `base`'s loop, which must outlive the transport.
  // `receive` gets each valid message of this protocol version; it must not destroy the transport.
  Transport(event_base* base, Settings settings, std::function<void(messages::Envelope)> receive);
  ~Transport();

  bool Listen(std::string* error);  // `error`: one line that names the remedy
  void Send(const std::string& address, messages::Envelope envelope);  // fills in the sender
  void Forget(const std::string& address);                             // closes the connection to a dead peer

  Statistics statistics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::transport
