#include "transport/peer_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "transport/frame.h"

namespace lichenlug::transport {
namespace {

constexpr std::size_t kMaxFramesBeforeConnected = 64;
constexpr std::size_t kMaxUnsentBytes = 1u << 20;  // accepts a message while fewer are queued
constexpr std::size_t kMaxRetainedCapacity = 64u << 10;
constexpr std::chrono::milliseconds kInitialReconnectDelay{20};
constexpr std::chrono::milliseconds kMaxReconnectDelay{200};

timeval ToTimeval(std::chrono::milliseconds span) {
  return {.tv_sec = span.count() / 1000, .tv_usec = span.count() % 1000 * 1000};
}

bool IsTemporary(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

std::unique_ptr<PeerConnection> PeerConnection::Open(event_base* base, const std::string& address) {
  const auto peer = ParseAddress(address);
  if (!peer) return nullptr;
  std::unique_ptr<PeerConnection> connection(new PeerConnection(base, *peer));
  connection->Connect();
  return connection;
}

PeerConnection::PeerConnection(event_base* base, const sockaddr_in& peer)
    : base_(base), peer_(peer), reconnect_delay_(kInitialReconnectDelay) {
  const auto connect_again = [](evutil_socket_t, short, void* self) {
    static_cast<PeerConnection*>(self)->Connect();
  };
  reconnect_timer_.reset(evtimer_new(base_, connect_again, this));
}

void PeerConnection::Connect() {
  socket_ = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_.open()) return ScheduleReconnect();
  SetConnectionOptions(socket_.descriptor());
  const int result = ::connect(socket_.descriptor(), reinterpret_cast<const sockaddr*>(&peer_), sizeof peer_);
  if (result != 0 && errno != EINPROGRESS) return ScheduleReconnect();
  const auto on_writable = [](evutil_socket_t, short, void* self) {
    static_cast<PeerConnection*>(self)->OnWritable();
  };
  writable_.reset(event_new(base_, socket_.descriptor(), EV_WRITE, on_writable, this));
  event_add(writable_.get(), nullptr);
}

void PeerConnection::ScheduleReconnect() {
  writable_.reset();
  socket_.Close();
  const timeval wait = ToTimeval(reconnect_delay_);
  reconnect_delay_ = std::min(2 * reconnect_delay_, kMaxReconnectDelay);
  evtimer_add(reconnect_timer_.get(), &wait);
}

void PeerConnection::OnWritable() {
  if (state_ == State::kConnecting) OnConnectDone();
  if (state_ == State::kConnected) Flush();
}

void PeerConnection::OnConnectDone() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(socket_.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return ScheduleReconnect();
  state_ = State::kConnected;
  const auto on_readable = [](evutil_socket_t, short, void* self) {
    static_cast<PeerConnection*>(self)->OnReadable();
  };
  readable_.reset(event_new(base_, socket_.descriptor(), EV_READ | EV_PERSIST, on_readable, this));
  event_add(readable_.get(), nullptr);
}

// Peers send nothing on this connection: it becomes readable when it is closed or the remote is not a peer.
void PeerConnection::OnReadable() {
  std::array<char, 16> bytes;
  const auto count = ::recv(socket_.descriptor(), bytes.data(), bytes.size(), 0);
  if (count >= 0 || !IsTemporary(errno)) Disconnect();
}

PeerConnection::SendResult PeerConnection::Send(const messages::Envelope& envelope) {
  if (state_ == State::kLost) return SendResult::kLost;
  if (unsent_.size() - flushed_ >= kMaxUnsentBytes) return SendResult::kFull;
  if (state_ == State::kConnecting && frames_before_connected_++ >= kMaxFramesBeforeConnected)
    return SendResult::kFull;
  const bool waits = !unsent_.empty();
  AppendFrame(envelope, &unsent_);
  if (state_ == State::kConnected && !waits) Flush();
  return state_ == State::kLost ? SendResult::kLost : SendResult::kQueued;
}

void PeerConnection::Flush() {
  while (flushed_ < unsent_.size()) {
    const auto count =
        ::send(socket_.descriptor(), unsent_.data() + flushed_, unsent_.size() - flushed_, MSG_NOSIGNAL);
    if (count < 0 && !IsTemporary(errno)) return Disconnect();
    if (count < 0) {
      unsent_.erase(0, flushed_);
      flushed_ = 0;
      event_add(writable_.get(), nullptr);
      return;
    }
    flushed_ += static_cast<std::size_t>(count);
  }
  flushed_ = 0;
  unsent_.clear();
  if (unsent_.capacity() > kMaxRetainedCapacity) unsent_.shrink_to_fit();
}

void PeerConnection::Disconnect() {
  state_ = State::kLost;
  readable_.reset();
  writable_.reset();
  socket_.Close();
  std::string().swap(unsent_);  // assigning an empty one would keep its buffer
  flushed_ = 0;
}

}  // namespace lichenlug::transport
