// Usage reporting: the counts of every dispatcher by window and tenant are merged idempotently; the tally of
// a window is chosen once in the register of the duty, then sent to the platform unchanged until it is
// acknowledged. A state machine without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

// One call to the platform or a runner, made by the control plane; its result must have the same tag.
struct HttpCall {
  std::uint64_t tag = 0;
  std::string address;  // "ip:port"; empty: the platform
  std::string method;
  std::string path;
  std::string body;         // JSON
  std::uint64_t fence = 0;  // sent in the headers to the platform
  Time timeout = kSecond;
  // Id of the intended runner: any other runner at this address refuses the call.
  std::string expect_runner;
};
struct HttpResult {
  int status = 0;  // 0: no answer
  std::string body;
};

class UsageDuty {
 public:
  struct Settings {
    Time window = 5 * kSecond;
    Time late = 10 * kSecond;  // after the window's end
  };
  struct Output {
    std::vector<HttpCall> calls;
    std::vector<messages::WindowCount> choose;  // tallies to propose to the register
  };

  explicit UsageDuty(Settings settings);
  ~UsageDuty();

  void Merge(Time wall_now, const messages::UsageReport& report);  // on every dispatcher with a store
  // On the holder only: `state` is that of the register, `wall_now` is Unix time.
  void Act(Time now, Time wall_now, std::uint64_t epoch, const messages::OwnershipState& state,
           Output* output);
  void Completed(Time now, std::uint64_t tag, const HttpResult& result, Output* output);
  // All counts of recent windows, to be sent to other dispatchers so that a new holder has them.
  std::vector<messages::UsageReport> Reports() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::duties
