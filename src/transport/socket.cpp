#include "transport/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <cstdint>
#include <utility>

namespace lichenlug::transport {

Socket::Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const auto colon = address.find(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto result = std::from_chars(address.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end || port == 0) return std::nullopt;
  parsed.sin_port = htons(port);
  return parsed;
}

void SetConnectionOptions(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
}

}  // namespace lichenlug::transport
