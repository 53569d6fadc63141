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
  std::size_t max_sockets = 1024;  // limits.sockets, and no more than the process may open
  std::size_t open_at_start = 3;   // descriptors: inherited ones, the loop's, the signals'
  rookgw::Site site;
  RouteNews known;
  PeerSettings peers;  // off where settings.Limits.MayTell is not true

  // Every descriptor has its place in one sum: those open at the start, the program's own, the two shares of
  // what is left. A connection is closed in the turn in which it leaves its table, so that none is held
  // beside.
  std::size_t max_runner_links() const { return shared() / 4; }
  std::size_t max_caller_legs() const { return shared() - max_runner_links(); }
  // Past these only call-backs are served: they end work, and a runner tries each but ten times.
  std::size_t max_serving_legs() const { return shared() / 2; }

  // Its own, opened later: the listener and a connection that is accepted and not counted yet (2), the socket
  // of the datagrams (1), watches (3: one that stands, one that is asked for, one that is on its way out),
  // the file that is read at SIGHUP (1), one to spare.
  static constexpr std::size_t kOwnDescriptors = 8, kMinShared = 16;

 private:
  std::size_t shared() const { return max_sockets - open_at_start - kOwnDescriptors; }
};

// What is wrong with the configuration, in one line that names the key and what is expected there.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ConfigError, or rookgw::SettingsError for what is wrong within `settings`. `environment` gives a
// variable's value or null. What is open now counts as open for good.
Config ReadConfig(const std::function<const char*(const char*)>& environment);

// The same for a running program that is told to read its file again: there the file's `discovery` wins, for
// the variable still holds the address of the start.
Config RereadConfig(const std::function<const char*(const char*)>& environment, const Config& running);

}  // namespace lichenlug
