// Owners of a non-blocking TCP socket and of libevent events.
#pragma once

#include <event2/event.h>
#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>

namespace lichenlug::transport {

struct EventDeleter {
  void operator()(event* owned) const { event_free(owned); }
};
using EventPointer = std::unique_ptr<event, EventDeleter>;

class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  int descriptor() const { return descriptor_; }
  bool open() const { return descriptor_ >= 0; }
  void Close();

 private:
  int descriptor_ = -1;
};

// Parses "ip:port" with a numeric IPv4 address; host names are rejected, as they would need a resolver.
std::optional<sockaddr_in> ParseAddress(const std::string& address);

// Sets TCP_NODELAY, so that small messages are sent at once, and SO_KEEPALIVE, to detect vanished peers.
void SetConnectionOptions(int descriptor);

}  // namespace lichenlug::transport
