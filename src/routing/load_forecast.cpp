#include "routing/load_forecast.h"

#include <algorithm>

namespace lichenlug::routing {
namespace {

constexpr std::size_t kMaxMissing = 4096;
constexpr Time kForgetAfter = 15 * kSecond;  // since the last request; placement drops the demand as well
constexpr double kMaxOverheadSamples = 20;   // loads in the running mean
constexpr double kSafetyFactor = 1.25;       // a client that retries too early is refused again
constexpr Time kMinRemaining = 200 * kMillisecond;  // for an overdue load

}  // namespace

void LoadForecast::RecordMissing(Time now, Holding holding, Time load) {
  if (missing_.size() >= kMaxMissing && !missing_.contains(holding)) return;
  const auto [found, inserted] = missing_.try_emplace(holding, Missing{now, now, load});
  if (!inserted && now - found->second.last_requested > kForgetAfter) found->second.since = now;
  found->second.last_requested = now;
  found->second.load = load;
}

void LoadForecast::LearnFromRunners(Time now, const RunnerTable& runners) {
  std::erase_if(missing_, [&](const auto& item) {
    const auto& [holding, missing] = item;
    if (now - missing.last_requested > kForgetAfter) return true;
    if (!runners.AnyReady(holding)) return false;
    OverheadFor(missing.load)
        .Add(static_cast<double>(std::max<Time>(0, now - missing.since - missing.load)), kMaxOverheadSamples);
    return true;
  });
}

Time LoadForecast::Remaining(Time now, Holding holding, Time load) const {
  const RunningMean& overhead = OverheadFor(load);
  const double safety = overhead.weight > 1 ? kSafetyFactor : 1;
  const Time total = load + static_cast<Time>(safety * overhead.value);
  const auto found = missing_.find(holding);
  if (found == missing_.end()) return total;
  return std::max(total - (now - found->second.since), kMinRemaining);
}

}  // namespace lichenlug::routing
