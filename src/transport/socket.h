// A TCP socket that does not block, and libevent's events with an owner.
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

// "ip:port" with a numeric IPv4 address: nothing that would need a resolver.
std::optional<sockaddr_in> ParseAddress(const std::string& address);

// Small messages go out at once, and a peer that vanished is noticed in the end.
void SetConnectionOptions(int descriptor);

}  // namespace lichenlug::transport
