#include "transport/frame_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

#include "base/receive_buffer.h"

namespace lichenlug::transport {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReceiveBufferBytes = 32 * 1024;
constexpr Time kMinSilence = kSecond;  // before a connection makes room for a new one
// Longer than the idle timeout of the sending side, so that only connections of vanished peers reach it.
constexpr timeval kReceiveTimeout{.tv_sec = 90, .tv_usec = 0};

Time Now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace

FrameListener::Connection::Connection(FrameListener* parent, int descriptor)
    : listener(parent),
      socket(descriptor),
      reader(parent->limits_.max_frame_bytes),
      account(&parent->budget_, [this] { evicted = listener->has_evicted_ = true; }),
      last_frame_at(Now()) {}

FrameListener::FrameListener(event_base* base, const Limits& limits, Handler handler)
    : base_(base), limits_(limits), handler_(std::move(handler)), budget_(limits.max_unfinished_bytes) {}

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
  if (listener_) {
    BoundReceiveBuffers(evconnlistener_get_fd(listener_.get()), kReceiveBufferBytes);
    return true;
  }
  *error = "cannot listen at " + address + " for other dispatchers (" + std::strerror(errno) +
           "): free this port or choose another one of the internal ports";
  return false;
}

void FrameListener::Accept(int descriptor) {
  if (connections_.size() >= limits_.max_connections && !MakeRoomForConnection()) {
    evutil_closesocket(descriptor);
    return;
  }
  SetConnectionOptions(descriptor);
  Connection& connection = connections_.emplace_front(this, descriptor);
  connection.position = connections_.begin();
  const auto on_event = [](evutil_socket_t, short what, void* context) {
    auto* accepted = static_cast<Connection*>(context);
    accepted->listener->OnEvent(accepted, what);
  };
  connection.readable.reset(event_new(base_, descriptor, EV_READ | EV_PERSIST, on_event, &connection));
  event_add(connection.readable.get(), &kReceiveTimeout);
}

// Closes the connection that has been silent for the longest time, first of those that never sent a frame: a
// peer opens its connection again when it has a message.
bool FrameListener::MakeRoomForConnection() {
  const auto silent_longest = std::ranges::min_element(connections_, {}, [](const Connection& connection) {
    return std::pair(connection.sent_frame, connection.last_frame_at);
  });
  if (silent_longest == connections_.end()) return false;
  if (silent_longest->sent_frame && Now() - silent_longest->last_frame_at < kMinSilence) return false;
  connections_.erase(silent_longest);
  return true;
}

void FrameListener::CloseEvicted() {
  connections_.remove_if([](const Connection& connection) { return connection.evicted; });
}

void FrameListener::OnEvent(Connection* connection, short what) {
  const bool silent = (what & EV_READ) == 0;
  if (silent || !ReadOnce(connection)) {
    connections_.erase(connection->position);
    return;
  }
  connection->account.Set(connection->reader.unfinished_bytes(), /*evictable=*/true, Now());
  if (std::exchange(has_evicted_, false)) CloseEvicted();
}

bool FrameListener::ReadOnce(Connection* connection) {
  const auto count = ::recv(connection->socket.descriptor(), received_.data(), received_.size(), 0);
  if (count < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  if (count == 0) return false;
  return connection->reader.Read(std::span(received_).first(static_cast<std::size_t>(count)),
                                 [this, connection](std::span<const std::byte> frame) {
                                   connection->sent_frame = true;
                                   connection->last_frame_at = Now();
                                   handler_(frame);
                                 });
}

}  // namespace lichenlug::transport
