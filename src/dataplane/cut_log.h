// Answers that were cut after their head had gone to the client: counted by reason, and logged within a
// bound, so that one can be told from another afterwards.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/token_bucket.h"

namespace lichenlug::dataplane {

// What ended the answer.
enum class CutReason : std::uint8_t {
  kNotResumable,   // its runner broke off and the answer can't be taken up elsewhere
  kNoOtherRunner,  // it could be taken up, but no other runner may take it
  kDeadline,       // its time was up
  kRouteGone,      // the configuration in force does not let it go to another runner any more
};
inline constexpr std::size_t kCutReasons = 4;
using CutCounts = std::array<std::uint64_t, kCutReasons>;  // by reason

std::string_view ToText(CutReason reason);

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
