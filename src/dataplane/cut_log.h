// Answers that were cut after their head had gone to the client: counted by reason, and logged within a
// bound, so that one can be told from another afterwards.
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
  std::string_view attempt_id, route, runner_id;  // the runner of its last attempt
  std::string_view last_failure;                  // how that attempt ended; empty: it had not
  Time since_arrival = 0, left = 0;               // of its time
  std::int64_t edition_at_arrival = 0, edition_now = 0;
};

class CutLog {
 public:
  void Record(Time now, const Cut& cut);
  const CutCounts& counts() const { return counts_; }

 private:
  CutCounts counts_{};
  TokenBucket lines_;
};

}  // namespace lichenlug::dataplane
