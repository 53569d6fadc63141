// The internal transport: a TCP connection to each peer for what is sent, one listener for what is received,
// all on the event loop of the caller. Messages may be lost or late; they are never altered and never block
// the caller. A peer that takes nothing loses messages, not time.
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
    std::size_t longest_message = 8u << 20;
    std::size_t max_peers = 256;
  };
  struct Statistics {
    std::uint64_t sent = 0;            // handed to a connection
    std::uint64_t dropped = 0;         // the connection's buffer was full, or the peer has none
    std::uint64_t received = 0;        // given to `receive`
    std::uint64_t unreadable = 0;      // received, but no envelope, or without a sender
    std::uint64_t other_versions = 0;  // received, but of another protocol version
    std::uint64_t renewals = 0;        // connections closed and dialled anew
    std::size_t peers = 0;             // with a socket now
  };
  // All calls, `receive` too, are on the thread of `base`'s loop, which outlives the transport. `receive`
  // gets each message that can be read and is of this protocol version; it must not destroy the transport.
  Transport(event_base* base, Settings settings, std::function<void(messages::Envelope)> receive);
  ~Transport();

  bool Listen(std::string* error);                                     // one line with the remedy
  void Send(const std::string& address, messages::Envelope envelope);  // fills in the sender
  void Forget(const std::string& address);  // the peer is dead: its connection is closed

  Statistics statistics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::transport
