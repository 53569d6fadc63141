#include "transport/frame_listener.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace lichenlug::transport {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kMaxConnections = 1024;
// Longer than the idle timeout of the sending side, so that only connections of vanished peers reach it.
constexpr timeval kReceiveTimeout{.tv_sec = 90, .tv_usec = 0};

}  // namespace

FrameListener::FrameListener(event_base* base, std::size_t max_frame_bytes, Handler handler)
    : base_(base), max_frame_bytes_(max_frame_bytes), handler_(std::move(handler)) {}

FrameListener::~FrameListener() = default;

bool FrameListener::Listen(const std::string& address, std::string* error) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    *error = "cannot listen at " + address + " for other dispatchers: give a numeric IPv4 address and a port";
    return false;
  }
  const auto on_accept = [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
    static_cast<FrameListener*>(self)->Accept(descriptor);
  };
  listener_.reset(evconnlistener_new_bind(
      base_, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<const sockaddr*>(&*parsed), sizeof *parsed));
  if (listener_) return true;
  *error = "cannot listen at " + address + " for other dispatchers (" + std::strerror(errno) +
           "): free this port or choose another one of the internal ports";
  return false;
}

void FrameListener::Accept(int descriptor) {
  if (connections_.size() >= kMaxConnections) {
    evutil_closesocket(descriptor);
    return;
  }
  SetConnectionOptions(descriptor);
  Connection& connection = connections_.emplace_front(this, descriptor, max_frame_bytes_);
  connection.position = connections_.begin();
  const auto on_event = [](evutil_socket_t, short what, void* context) {
    auto* accepted = static_cast<Connection*>(context);
    accepted->listener->OnEvent(accepted, what);
  };
  connection.readable.reset(event_new(base_, descriptor, EV_READ | EV_PERSIST, on_event, &connection));
  event_add(connection.readable.get(), &kReceiveTimeout);
}

void FrameListener::OnEvent(Connection* connection, short what) {
  const bool silent = (what & EV_READ) == 0;
  if (silent || !ReadOnce(connection)) connections_.erase(connection->position);
}

bool FrameListener::ReadOnce(Connection* connection) {
  const auto count = ::recv(connection->socket.descriptor(), received_.data(), received_.size(), 0);
  if (count < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  if (count == 0) return false;
  return connection->reader.Read(std::span(received_).first(static_cast<std::size_t>(count)), handler_);
}

}  // namespace lichenlug::transport
