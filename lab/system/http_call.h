// One HTTP call on its own connection.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "lab/system/loop.h"
#include "net/http_connection.h"

namespace lichenlug::standins {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpCall {
  std::string method = "GET", path = "/", body;
  Headers headers = {};
  Time timeout = kSecond;
};

// "ip:port".
asio::ip::tcp::endpoint EndpointOf(const std::string& address);
std::string AddressOf(const asio::ip::tcp::endpoint& endpoint);

// Calls `done` exactly once with the response; status 0 means that no complete response arrived in time.
void Call(asio::io_context& io, const std::string& address, const HttpCall& call,
          std::function<void(HttpMessage)> done);

// Synchronous variant: runs the loop until the response has arrived.
HttpMessage CallAndWait(Loop* loop, const std::string& address, const HttpCall& call);

}  // namespace lichenlug::standins
