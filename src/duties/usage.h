// Usage reports: what every dispatcher counted by window and tenant, merged idempotently; the tally of a
// window is chosen once in the register of the duty, then told to the platform exactly so until it is
// acknowledged. A state machine.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/duties.pb.h"

namespace lichenlug::duties {

// One call to the platform or a runner, made by the control plane; the answer comes back with the same tag.
struct HttpCall {
  std::uint64_t tag = 0;
  std::string address;  // "ip:port"; empty: the platform
  std::string method;
  std::string path;
  std::string body;         // JSON
  std::uint64_t fence = 0;  // sent in the headers to the platform
  Time timeout = kSecond;
  std::string
      expect_runner;  // id of the runner that is meant: any other one at this address refuses the call
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
    std::vector<messages::WindowCount> choose;  // tallies to be chosen in the register
  };

  explicit UsageDuty(Settings settings);
  ~UsageDuty();

  void Merge(Time wall_now, const messages::UsageReport& report);  // on every dispatcher with a store
  // On the holder only: `state` is the register's, `wall_now` true Unix time.
  void Act(Time now, Time wall_now, std::uint64_t epoch, const messages::OwnershipState& state,
           Output* output);
  void Completed(Time now, std::uint64_t tag, const HttpResult& result, Output* output);
  // Tells all counts of recent windows, so that a new holder has them.
  std::vector<messages::UsageReport> Reports() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::duties
