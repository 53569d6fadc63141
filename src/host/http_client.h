// Calls to the platform and to runners, on evhttp: one connection a call, each with a time-out.
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

  // `done` is called exactly once, with status 0 where no answer came.
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
