// HTTP/1.1 server for the operator, runners and the platform's readiness checks. Connections are served on a
// thread of their own, so that the bytes of many callers do not delay the control plane; the handlers run on
// its event loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "host/event_loop.h"
#include "node/control_call.h"

namespace lichenlug::host {

class HttpServer {
 public:
  struct Limits {
    std::size_t max_body_bytes = 0;
    std::size_t max_connections = 0;
    std::size_t max_held_bytes =
        0;  // by all connections: incomplete requests, those being handled, responses
    std::size_t receive_buffer_bytes = 0;  // of the system, for each connection
  };
  using Handler = std::function<void(node::ControlRequest, node::Respond)>;

  // `loop` must outlive the server.
  explicit HttpServer(EventLoop* loop);
  ~HttpServer();  // sends the responses that were given; ends the thread

  // Serves an address, "ip:port", from Start() on; `error`: one line.
  bool Listen(const std::string& address, const Limits& limits, Handler handler, std::string* error);
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Splits "ip:port"; the port is 0 if it cannot be parsed.
std::pair<std::string, int> SplitAddress(const std::string& address);

}  // namespace lichenlug::host
