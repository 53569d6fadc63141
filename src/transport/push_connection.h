// One nng push socket with one dialer: the way to one peer. nng dials in the background and again after each
// loss; messages wait in the socket's buffer meanwhile.
#pragma once

#include <nng/nng.h>

#include <atomic>
#include <memory>
#include <string>

#include "messages/generated/envelope.pb.h"

namespace lichenlug::transport {

class PushConnection {
 public:
  enum class SendResult { kQueued, kFull, kFailed };

  // Null if nng has no more sockets or the address can't be read.
  static std::unique_ptr<PushConnection> Open(const std::string& address);
  // Messages still in the buffer are lost. Must not run on one of nng's threads.
  ~PushConnection();
  PushConnection(const PushConnection&) = delete;
  PushConnection& operator=(const PushConnection&) = delete;

  SendResult Send(const messages::Envelope& envelope);  // does not block
  bool connected() const { return connected_.load(std::memory_order_relaxed); }

 private:
  explicit PushConnection(nng_socket socket) : socket_(socket) {}
  bool Dial(const std::string& address);
  static void OnPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* connection);

  nng_socket socket_;
  std::atomic<bool> connected_ = false;
};

}  // namespace lichenlug::transport
