// Logs requests that were refused because no runner could take them, rate-limited: what they needed and how
// many runners hold it, so that a lack of copies can be told from a lack of room.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/token_bucket.h"

namespace lichenlug::dataplane {

struct Refusal {
  std::string_view attempt_id, route, model, adapter;
  int ready_holders = 0;  // ready runners that hold the model or adapter
  int attempts = 0;       // made before the refusal
  Time since_arrival = 0;
};

class RefusalLog {
 public:
  void Record(Time now, const Refusal& refusal);

 private:
  TokenBucket log_limiter_;
  std::uint64_t left_out_ = 0;  // since the last line
};

}  // namespace lichenlug::dataplane
