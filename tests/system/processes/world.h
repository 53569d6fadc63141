// What the tests with real processes share. Each wait ends with its event; the patience is only for failures,
// and is long, as sanitizers and a busy machine make processes slow.
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

// A system that is founded and ready; the logs are told where a test fails.
class Testbed {
 public:
  explicit Testbed(int core = 3, int diskless = 1, int runners = 6);
  explicit Testbed(const SystemPlan& plan);
  ~Testbed();

  System& system() { return system_; }
  bool Found();

  ClientRequest Request(ClientKind kind, int events = 10) const;
  // Sends one to that dispatcher, or to any, and waits for its end.
  ClientResult Send(const ClientRequest& request, std::size_t dispatcher = kNoDispatcher);
  // One request of each kind is served through each dispatcher.
  void CheckServedEverywhere();
  void CheckNoRuleBroken();
  bool AllRunning();

  Change Put(std::int64_t if_match, const Json& configuration) const;
  Change Patch(std::int64_t if_match, std::int64_t edition, const std::string& route) const;
  // The edition that is read back; 0: none.
  std::int64_t EditionReadBack();

  bool RunUntil(const Loop::Condition& condition) { return system_.loop().RunUntil(condition, kTimeout); }

 private:
  System system_;
};

// Sends bytes to an address and reads until the other side ends, or for a while.
std::string SendRaw(Loop* loop, const std::string& address, std::string_view bytes);

}  // namespace lichenlug::standins::test
