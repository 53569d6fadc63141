// Plain TCP sockets on the loopback interface, for peers that do not implement the protocol.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <string>

namespace lichenlug::transport {

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens, lets the kernel accept connections, and never reads.
class RawListener {
 public:
  RawListener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof(address);
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(socket_, 16) != 0 ||
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("no free port on the loopback interface");
    }
    port_ = ntohs(address.sin_port);
  }
  ~RawListener() { ::close(socket_); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int socket_;
  int port_ = 0;
};

// An address on which no process listens now.
inline std::string FreeAddress() { return RawListener().address(); }

class RawClient {
 public:
  explicit RawClient(const std::string& address) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in to = LoopbackAddress(std::stoi(address.substr(address.find(':') + 1)));
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
      throw std::runtime_error("cannot connect to " + address);
    }
  }
  ~RawClient() { ::close(socket_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Write(const std::string& bytes) {
    if (::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
      throw std::runtime_error("cannot write to a peer under test");
    }
  }

  // Waits for the peer to close the connection.
  bool IsClosedWithin(std::chrono::milliseconds timeout) {
    pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
    return ::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0;
  }

 private:
  int socket_;
};

}  // namespace lichenlug::transport
