#include "dataplane/cut_log.h"

#include <glog/logging.h>

namespace lichenlug::dataplane {
namespace {

constexpr double kLogLinesPerSecond = 5, kLogBurstLines = 20;

}  // namespace

void CutLog::Record(Time now, const Cut& cut) {
  ++counts_[static_cast<std::size_t>(cut.reason)];
  if (!log_limiter_.Take(now, kLogLinesPerSecond, kLogBurstLines)) return;
  LOG(WARNING) << "answer cut: " << ToText(cut.reason) << ", request " << cut.attempt_id << ", route "
               << cut.route << ", runner " << cut.runner_id << ", its last failure '" << cut.last_failure
               << "', after " << cut.since_arrival / kMillisecond << " ms with "
               << cut.time_left / kMillisecond << " ms left, edition " << cut.edition_at_arrival
               << " at its arrival, " << cut.edition_now << " now";
}

}  // namespace lichenlug::dataplane
