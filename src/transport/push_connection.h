// One nng push socket with one dialer: the way to one peer. nng dials in the background until it has reached
// the peer; messages wait in the socket's buffer meanwhile. A connection that is lost is not used again, and
// whoever sends opens a new one: a push socket of nng 1.5 may keep a pipe in its list of ready ones that was
// closed while a send on it ended, and would use it after it has been freed.
#pragma once

#include <nng/nng.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "messages/generated/envelope.pb.h"

namespace lichenlug::transport {

class PushConnection {
 public:
  enum class SendResult { kQueued, kFull, kLost, kFailed };

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
  bool IsLost();
  void Lose();

  nng_socket socket_;
  std::atomic<bool> connected_ = false;
  std::mutex send_mutex_;  // nng frees a pipe only after its event, which waits for a send under way
  bool lost_ = false;
};

}  // namespace lichenlug::transport
