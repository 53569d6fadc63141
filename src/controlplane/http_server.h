// An HTTP/1.1 server on evhttp, for the operator, runners and the platform's readiness checks.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "controlplane/event_loop.h"

struct evhttp;
struct evhttp_request;

namespace lichenlug::controlplane {

struct ControlRequest {
  std::string method;
  std::string path;      // without the query
  std::string if_match;  // of the header; empty: absent
  std::string body;
};

struct ControlResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

ControlResponse PlainStatus(int status);  // with no body

class HttpServer {
 public:
  // Answers one request, now or later, exactly once.
  using Respond = std::function<void(ControlResponse)>;
  using Handler = std::function<void(ControlRequest, Respond)>;

  HttpServer(EventLoop* loop, std::size_t most_body_bytes, Handler handler);
  ~HttpServer();

  bool Listen(const std::string& address, std::string* error);  // "ip:port"; one line with the remedy

 private:
  void Handle(evhttp_request* request);

  EventLoop* loop_;
  evhttp* server_ = nullptr;
  Handler handler_;
};

// "ip:port" into its parts; port 0 where it can't be read.
std::pair<std::string, int> SplitAddress(const std::string& address);

}  // namespace lichenlug::controlplane
