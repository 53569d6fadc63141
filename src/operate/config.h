// Reads and validates the configuration and sets its defaults. It comes from the JSON file that
// BALANCER_CONFIG names; BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY override the file.
#pragma once

#include <algorithm>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

#include "decisions/settings.h"
#include "net/connection_listener.h"
#include "peers/transport.h"
#include "routes/runner_registry.h"

namespace lichenlug {

struct Config {
  std::string name;
  asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;         // limits.sockets, bounded by the process's descriptor limit
  std::size_t memory_bytes = 192u << 20;  // limits.memory_mb
  std::size_t open_at_start = 3;          // descriptors: inherited, the event loop's and the signal handlers'
  rookgw::Site site;
  RunnerListUpdate known;
  PeerSettings peers;  // off unless settings.Limits.MayTell is true

  // The descriptor budget: those open at startup, the program's own, and two shares of the rest. A connection
  // is closed as soon as it is removed from its table, so that none exists outside the budget.
  std::size_t max_runner_connections() const { return shared() / 4; }
  std::size_t max_client_connections() const { return shared() - max_runner_connections(); }
  // Beyond these only callbacks are accepted: they complete work, and a runner retries each only ten times.
  std::size_t max_serving_connections() const { return shared() / 2; }

  // Of the bytes that clients' connections hold together: a quarter of the memory.
  std::size_t max_client_bytes() const { return std::max(kMinClientBytes, memory_bytes / 4); }
  std::size_t client_receive_buffer() const {
    return ReceiveBufferBytes(memory_bytes, max_client_connections());
  }

  // The program's own descriptors that are opened later: the listener and a connection that is accepted but
  // not counted yet (2), the UDP socket (1), watches (3: established, pending and hedged), the file that is
  // read at SIGHUP (1), and one in reserve.
  static constexpr std::size_t kOwnDescriptors = 8, kMinShared = 16;
  static constexpr std::size_t kMinClientBytes = 4u << 20;

 private:
  std::size_t shared() const { return max_sockets - open_at_start - kOwnDescriptors; }
};

// An error in the configuration: one line with the key and what is expected there.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ConfigError, or rookgw::SettingsError for errors in `settings`. `environment` returns a variable's
// value or null. Descriptors that are open now are assumed to stay open.
Config ReadConfig(const std::function<const char*(const char*)>& environment);

// The same for a reload in a running program: the file's `discovery` overrides the variable, which still has
// the value from startup.
Config RereadConfig(const std::function<const char*(const char*)>& environment, const Config& running);

}  // namespace lichenlug
