#include "plain_socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace lichenlug::dataplane::test {
namespace {

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool EqualsIgnoreCase(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

}  // namespace

int Message::status() const { return first_line.size() > 12 ? std::stoi(first_line.substr(9, 3)) : 0; }

std::string Message::Header(std::string_view name) const {
  for (const auto& [header_name, value] : headers)
    if (EqualsIgnoreCase(header_name, name)) return value;
  return {};
}

Socket::Socket(int descriptor) : descriptor_(descriptor) {
  if (descriptor_ < 0) throw std::runtime_error("cannot create a socket");
  const timeval timeout{kTimeoutSeconds, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Socket::~Socket() { Close(); }

Socket::Socket(Socket&& other) noexcept { *this = std::move(other); }

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(buffer_, other.buffer_);
  std::swap(last_chunk_, other.last_chunk_);
  return *this;
}

Socket Socket::ConnectTo(std::uint16_t port) {
  Socket connected(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(connected.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("cannot connect");
  return connected;
}

void Socket::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) throw std::runtime_error("cannot send");
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

bool Socket::CanSend(int milliseconds) {
  pollfd wanted{descriptor_, POLLOUT, 0};
  return poll(&wanted, 1, milliseconds) == 1;
}

void Socket::EndSending() { shutdown(descriptor_, SHUT_WR); }

void Socket::Reset() {
  const linger hard{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  Close();
}

void Socket::Close() {
  if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
}

bool Socket::Receive() {
  char buffer[16384];
  const ssize_t size = recv(descriptor_, buffer, sizeof buffer, 0);
  if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    throw std::runtime_error("timed out while waiting for bytes");
  if (size <= 0) return false;
  buffer_.append(buffer, static_cast<std::size_t>(size));
  return true;
}

std::optional<std::string> Socket::ReadLine() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos)
    if (!Receive()) return std::nullopt;
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

std::string Socket::ReadExactly(std::size_t size) {
  while (buffer_.size() < size && Receive()) {
  }
  std::string bytes = buffer_.substr(0, size);
  buffer_.erase(0, bytes.size());
  return bytes;
}

Message Socket::ReadHead() {
  Message message;
  last_chunk_ = false;
  const auto first = ReadLine();
  if (!first) return message;
  message.first_line = *first;
  while (const auto line = ReadLine()) {
    if (line->empty()) return message.complete = true, message;
    const std::size_t colon = line->find(": ");
    message.headers.emplace_back(line->substr(0, colon), line->substr(colon + 2));
  }
  return message;
}

std::string Socket::ReadChunk() {
  const auto line = ReadLine();
  if (!line || line->empty()) return {};
  const std::size_t size = std::stoul(*line, nullptr, 16);
  std::string bytes = ReadExactly(size);
  if (ReadExactly(2) == "\r\n" && size == 0) last_chunk_ = true;
  return bytes;
}

Message Socket::Read(bool with_body) {
  Message message = ReadHead();
  if (!message.complete || !with_body) return message;
  if (message.Header("Transfer-Encoding") == "chunked") {
    for (std::string chunk = ReadChunk(); !chunk.empty(); chunk = ReadChunk()) message.body += chunk;
    message.complete = last_chunk_;
  } else if (const std::string length = message.Header("Content-Length"); !length.empty()) {
    message.body = ReadExactly(std::stoul(length));
    message.complete = message.body.size() == std::stoul(length);
  }
  return message;
}

bool Socket::AtEnd() { return buffer_.empty() && !Receive(); }

std::string Socket::ReadToEnd() {
  while (Receive()) {
  }
  return std::exchange(buffer_, {});
}

ListeningSocket::ListeningSocket() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      listen(descriptor_, 64) != 0 ||
      getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("cannot listen");
  port_ = ntohs(address.sin_port);
}

ListeningSocket::~ListeningSocket() { Close(); }

void ListeningSocket::Close() {
  if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
}

// With a full accept queue the kernel drops the SYN of a new connection.
void ListeningSocket::StopResponding() {
  constexpr int kFillers = 8;
  if (listen(descriptor_, 0) != 0) throw std::runtime_error("cannot listen");
  const sockaddr_in address = Loopback(port_);
  for (int filler = 0; filler < kFillers; ++filler) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    fillers_.emplace_back(descriptor);
  }
}

bool ListeningSocket::WaitForConnection(int milliseconds) {
  pollfd wanted{descriptor_, POLLIN, 0};
  return descriptor_ >= 0 && poll(&wanted, 1, milliseconds) == 1;
}

Socket ListeningSocket::Accept() {
  if (!WaitForConnection(kTimeoutSeconds * 1000))
    throw std::runtime_error("timed out while waiting for a connection");
  return Socket(accept(descriptor_, nullptr, nullptr));
}

}  // namespace lichenlug::dataplane::test
