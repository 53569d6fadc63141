// Shared fixture of the tests with real processes. Each wait ends with its event; the timeout only matters
// for failures, and is long because sanitizers and a busy machine make processes slow.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "lab/system/sample.h"
#include "lab/system/system.h"
#include "lab/system/wire_words.h"

namespace lichenlug::standins::test {

using Json = nlohmann::json;

inline constexpr Time kTimeout = 30 * kSecond;
inline constexpr std::size_t kNoDispatcher = static_cast<std::size_t>(-1);

// A running system of dispatchers, runners and clients; prints the logs if a test fails with an exception.
class Testbed {
 public:
  explicit Testbed(int core = 3, int diskless = 1, int runners = 6);
  explicit Testbed(const SystemPlan& plan);
  ~Testbed();

  System& system() { return system_; }
  bool Found();

  ClientRequest Request(ClientKind kind, int events = 10) const;
  // Sends one request to this dispatcher, or to any, and waits for its result.
  ClientResult Send(const ClientRequest& request, std::size_t dispatcher = kNoDispatcher);
  // Checks that each dispatcher serves one request of each kind.
  void CheckServedEverywhere();
  void CheckNoViolations();
  bool AllRunning();

  Change Put(std::int64_t if_match, const Json& configuration) const;
  Change Patch(std::int64_t if_match, std::int64_t edition, const std::string& route) const;
  // The edition of the current configuration; 0 if none.
  std::int64_t CurrentEdition();

  bool RunUntil(const Loop::Condition& condition) { return system_.loop().RunUntil(condition, kTimeout); }

 private:
  System system_;
};

// The body of a valid heartbeat of a runner at an address where nothing listens.
Json RunnerHeartbeat();

// Sends bytes to an address and reads until the peer closes the connection or a timeout expires.
std::string SendRaw(Loop* loop, const std::string& address, std::string_view bytes);

}  // namespace lichenlug::standins::test
