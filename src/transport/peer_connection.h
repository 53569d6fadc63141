// Outgoing TCP connection to one peer: envelopes are sent on it and nothing is received. Connects with
// retries until first established, queuing messages meanwhile. A lost connection is not reused: the sender
// opens a new one.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "messages/generated/envelope.pb.h"
#include "transport/socket.h"

namespace lichenlug::transport {

class PeerConnection {
 public:
  enum class SendResult { kQueued, kFull, kLost };

  // Null if the address cannot be parsed. `base` must outlive the connection.
  static std::unique_ptr<PeerConnection> Open(event_base* base, const std::string& address);
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  SendResult Send(const messages::Envelope& envelope);  // does not block
  bool connected() const { return state_ == State::kConnected; }

 private:
  enum class State { kConnecting, kConnected, kLost };

  PeerConnection(event_base* base, const sockaddr_in& peer);
  void Connect();
  void ScheduleReconnect();
  void OnConnectDone();
  void OnReadable();
  void OnWritable();
  void Flush();
  void Disconnect();

  event_base* const base_;
  const sockaddr_in peer_;
  State state_ = State::kConnecting;
  Socket socket_;
  EventPointer readable_, writable_, reconnect_timer_;  // freed before the socket is closed
  std::chrono::milliseconds reconnect_delay_;
  std::string unsent_;  // frames; the first `flushed_` bytes were passed to the kernel
  std::size_t flushed_ = 0;
  std::size_t frames_before_connected_ = 0;
};

}  // namespace lichenlug::transport
