// HTTP client for calls to the platform and to runners, on evhttp. Each call has its own connection and
// timeout.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "duties/usage.h"
#include "host/event_loop.h"

namespace lichenlug::host {

class HttpClient {
 public:
  using Done = std::function<void(const duties::HttpResult&)>;

  HttpClient(EventLoop* loop, std::string holder, std::string platform_address);

  // Calls `done` exactly once; the status is 0 if there was no response.
  void Call(const duties::HttpCall& call, Done done);
  std::size_t in_flight() const { return in_flight_; }

 private:
  struct Exchange;

  EventLoop* loop_;
  std::string holder_;
  std::string platform_address_;
  std::size_t in_flight_ = 0;
};

}  // namespace lichenlug::host
