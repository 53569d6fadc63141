// The one place where configuration is read, checked and given defaults. What a dispatcher is told comes from
// the JSON file that BALANCER_CONFIG names; BALANCER_NAME, _LISTEN and _DISCOVERY win over the file.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "decisions/settings.h"
#include "peers/transport.h"
#include "routes/route_set.h"

namespace lichenlug {

struct Config {
  std::string name;
  asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t most_sockets = 1024;     // limits.sockets, and no more than the process may open
  std::size_t most_open = 20000;       // transactions; settings.Limits.MaxOpen
  Time idle_close = 5 * kSecond;       // settings.Limits.IdleClose
  Time connect_timeout = kSecond / 5;  // settings.Limits.ConnectTimeout
  rookgw::Site site;
  RouteNews known;
  PeerSettings peers;  // off where settings.Limits.MayTell is not true

  // Shares of the descriptors. The rest is for the listener, discovery, timers and what is being closed.
  std::size_t most_runner_links() const { return most_sockets / 4; }
  std::size_t most_caller_legs() const { return most_sockets * 5 / 8; }
  // Past these only call-backs are served: they end work, and a runner tries each but ten times.
  std::size_t most_serving_legs() const { return most_sockets / 2; }
};

// Throws std::runtime_error whose message names the faulty key, in one line. `environment` gives a variable's
// value or null.
Config ReadConfig(const std::function<const char*(const char*)>& environment);

// The same for a running program that is told to read its file again: there the file's `discovery` wins, for
// the variable still holds the address of the start.
Config RereadConfig(const std::function<const char*(const char*)>& environment);

}  // namespace lichenlug
