// Records responses that were truncated after their head was sent to the client: counts them by reason and
// logs each one, rate-limited, so that single cases can be told apart afterwards.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/token_bucket.h"
#include "dataplane/cut_reason.h"

namespace lichenlug::dataplane {

struct Cut {
  CutReason reason = CutReason::kNotResumable;
  std::string_view attempt_id, route, runner_id;  // runner_id: of the last attempt
  std::string_view last_failure;                  // how the last attempt ended; empty: it had not ended
  Time since_arrival = 0, time_left = 0;          // until now; until the deadline
  std::int64_t edition_at_arrival = 0, edition_now = 0;
};

class CutLog {
 public:
  void Record(Time now, const Cut& cut);
  const CutCounts& counts() const { return counts_; }

 private:
  CutCounts counts_{};
  TokenBucket log_limiter_;
};

}  // namespace lichenlug::dataplane
