#include "dataplane/refusal_log.h"

#include <glog/logging.h>

#include <utility>

namespace lichenlug::dataplane {
namespace {

constexpr double kLogLinesPerSecond = 1, kLogBurstLines = 5;

}  // namespace

void RefusalLog::Record(Time now, const Refusal& refusal) {
  if (!log_limiter_.Take(now, kLogLinesPerSecond, kLogBurstLines)) return void(++left_out_);
  LOG(INFO) << "refused: request " << refusal.attempt_id << ", route " << refusal.route << ", model "
            << refusal.model << (refusal.adapter.empty() ? "" : "/") << refusal.adapter << ", "
            << refusal.ready_holders << " ready runners hold it, " << refusal.attempts << " attempts, after "
            << refusal.since_arrival / kMillisecond << " ms; " << std::exchange(left_out_, 0)
            << " refusals not logged before";
}

}  // namespace lichenlug::dataplane
