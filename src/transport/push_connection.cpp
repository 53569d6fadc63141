#include "transport/push_connection.h"

#include <nng/protocol/pipeline0/push.h>

namespace lichenlug::transport {
namespace {

constexpr int kSendBufferMessages = 64;
constexpr nng_duration kShortestReconnectMs = 20;
constexpr nng_duration kLongestReconnectMs = 200;

}  // namespace

std::unique_ptr<PushConnection> PushConnection::Open(const std::string& address) {
  nng_socket socket;
  if (nng_push0_open(&socket) != 0) return nullptr;
  std::unique_ptr<PushConnection> connection(new PushConnection(socket));
  return connection->Dial(address) ? std::move(connection) : nullptr;
}

bool PushConnection::Dial(const std::string& address) {
  nng_socket_set_int(socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kShortestReconnectMs);
  nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kLongestReconnectMs);
  nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_PRE, OnPipeEvent, this);
  nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, OnPipeEvent, this);
  nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, OnPipeEvent, this);
  nng_dialer dialer;
  if (nng_dialer_create(&dialer, socket_, ("tcp://" + address).c_str()) != 0) return false;
  nng_dialer_set_bool(dialer, NNG_OPT_TCP_NODELAY, true);
  nng_dialer_set_bool(dialer, NNG_OPT_TCP_KEEPALIVE, true);
  return nng_dialer_start(dialer, NNG_FLAG_NONBLOCK) == 0;
}

PushConnection::~PushConnection() { nng_close(socket_); }

void PushConnection::OnPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* connection) {
  PushConnection& self = *static_cast<PushConnection*>(connection);
  if (event == NNG_PIPE_EV_ADD_PRE) {
    if (self.IsLost()) nng_pipe_close(pipe);  // nng has dialled again: not on this socket
    return;
  }
  self.connected_.store(event == NNG_PIPE_EV_ADD_POST, std::memory_order_relaxed);
  if (event == NNG_PIPE_EV_REM_POST) self.Lose();
}

bool PushConnection::IsLost() {
  const std::lock_guard lock(send_mutex_);
  return lost_;
}

void PushConnection::Lose() {
  const std::lock_guard lock(send_mutex_);
  lost_ = true;
}

PushConnection::SendResult PushConnection::Send(const messages::Envelope& envelope) {
  const std::size_t size = envelope.ByteSizeLong();
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, size) != 0) return SendResult::kFailed;
  envelope.SerializeWithCachedSizesToArray(static_cast<std::uint8_t*>(nng_msg_body(message)));
  const std::lock_guard lock(send_mutex_);
  if (lost_) {
    nng_msg_free(message);
    return SendResult::kLost;
  }
  const int error = nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK);
  if (error == 0) return SendResult::kQueued;
  nng_msg_free(message);
  return error == NNG_EAGAIN || error == NNG_ETIMEDOUT ? SendResult::kFull : SendResult::kFailed;
}

}  // namespace lichenlug::transport
