// The one place where configuration is read, checked and given defaults. What a dispatcher is told comes from
// the JSON file that BALANCER_CONFIG names; BALANCER_NAME, _LISTEN and _DISCOVERY win over the file.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

#include "decisions/settings.h"
#include "peers/transport.h"
#include "routes/route_set.h"

namespace lichenlug {

struct Config {
  std::string name;
  asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t most_sockets = 1024;  // limits.sockets, and no more than the process may open
  rookgw::Site site;
  RouteNews known;
  PeerSettings peers;  // off where settings.Limits.MayTell is not true

  // Shares of the descriptors. The rest is for the listener, discovery, timers and what is being closed.
  std::size_t most_runner_links() const { return most_sockets / 4; }
  std::size_t most_caller_legs() const { return most_sockets * 5 / 8; }
  // Past these only call-backs are served: they end work, and a runner tries each but ten times.
  std::size_t most_serving_legs() const { return most_sockets / 2; }
};

// What is wrong with the configuration, in one line that names the key and what is expected there.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ConfigError, or rookgw::SettingsError for what is wrong within `settings`. `environment` gives a
// variable's value or null.
Config ReadConfig(const std::function<const char*(const char*)>& environment);

// The same for a running program that is told to read its file again: there the file's `discovery` wins, for
// the variable still holds the address of the start.
Config RereadConfig(const std::function<const char*(const char*)>& environment);

}  // namespace lichenlug
