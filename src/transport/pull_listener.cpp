#include "transport/pull_listener.h"

#include <nng/protocol/pipeline0/pull.h>

#include <vector>

namespace lichenlug::transport {
namespace {

// Peers close a connection that they don't use sooner than this; what is left belongs to peers that vanished.
constexpr std::chrono::seconds kClosePipeAfter{90};
constexpr std::chrono::seconds kBetweenSweeps{10};

}  // namespace

bool PullListener::Listen(const std::string& address, std::size_t longest_message, std::string* error) {
  const int result = Start("tcp://" + address, longest_message);
  if (result == 0) return true;
  Close();
  *error = "cannot listen at " + address + " for other dispatchers (" + nng_strerror(result) +
           "): free this port or choose another one of the internal ports";
  return false;
}

int PullListener::Start(const std::string& url, std::size_t longest_message) {
  if (const int error = nng_pull0_open(&socket_)) return error;
  open_ = true;
  nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, OnPipeEvent, this);
  nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, OnPipeEvent, this);
  if (const int error = nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, longest_message)) return error;
  nng_listener listener;
  if (const int error = nng_listener_create(&listener, socket_, url.c_str())) return error;
  nng_listener_set_bool(listener, NNG_OPT_TCP_NODELAY, true);
  nng_listener_set_bool(listener, NNG_OPT_TCP_KEEPALIVE, true);
  if (const int error = nng_listener_start(listener, 0)) return error;
  const auto on_message = [](void* self) { static_cast<PullListener*>(self)->OnMessage(); };
  if (const int error = nng_aio_alloc(&receive_, on_message, this)) return error;
  nng_recv_aio(socket_, receive_);
  return 0;
}

void PullListener::Close() {
  if (receive_ != nullptr) {
    nng_aio_stop(receive_);
    nng_aio_free(receive_);
    receive_ = nullptr;
  }
  if (open_) nng_close(socket_);
  open_ = false;
}

void PullListener::OnMessage() {
  const int error = nng_aio_result(receive_);
  if (error == NNG_ECANCELED || error == NNG_ECLOSED) return;
  if (error == 0) {
    nng_msg* message = nng_aio_get_msg(receive_);
    nng_aio_set_msg(receive_, nullptr);
    Heard(nng_msg_get_pipe(message));
    handler_({static_cast<const std::byte*>(nng_msg_body(message)), nng_msg_len(message)});
    nng_msg_free(message);
  }
  nng_recv_aio(socket_, receive_);
}

void PullListener::Heard(nng_pipe pipe) {
  const SteadyTime now = std::chrono::steady_clock::now();
  std::vector<int> silent;
  {
    const std::lock_guard lock(pipes_mutex_);
    if (const auto heard = last_heard_.find(nng_pipe_id(pipe)); heard != last_heard_.end())
      heard->second = now;
    if (now < next_sweep_) return;
    next_sweep_ = now + kBetweenSweeps;
    for (const auto& [id, at] : last_heard_) {
      if (now - at > kClosePipeAfter) silent.push_back(id);
    }
  }
  for (const int id : silent) nng_pipe_close(nng_pipe{static_cast<std::uint32_t>(id)});
}

void PullListener::OnPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* listener) {
  PullListener& self = *static_cast<PullListener*>(listener);
  const std::lock_guard lock(self.pipes_mutex_);
  if (event == NNG_PIPE_EV_ADD_POST) {
    self.last_heard_[nng_pipe_id(pipe)] = std::chrono::steady_clock::now();
  } else {
    self.last_heard_.erase(nng_pipe_id(pipe));
  }
}

}  // namespace lichenlug::transport
