// HTTP/1.1 server on evhttp for the operator, runners and the platform's readiness checks.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "host/event_loop.h"
#include "node/control_call.h"

struct evhttp;
struct evhttp_request;

namespace lichenlug::host {

class HttpServer {
 public:
  using Handler = std::function<void(node::ControlRequest, node::Respond)>;

  HttpServer(EventLoop* loop, std::size_t max_body_bytes, Handler handler);
  ~HttpServer();

  bool Listen(const std::string& address, std::string* error);  // "ip:port"; `error`: one line

 private:
  void Handle(evhttp_request* request);

  EventLoop* loop_;
  evhttp* server_ = nullptr;
  Handler handler_;
};

// Splits "ip:port"; the port is 0 if it cannot be parsed.
std::pair<std::string, int> SplitAddress(const std::string& address);

}  // namespace lichenlug::host
