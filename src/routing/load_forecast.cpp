#include "routing/load_forecast.h"

#include <algorithm>

namespace lichenlug::routing {
namespace {

constexpr std::size_t kMaxMissing = 4096;
constexpr Time kForgetAfter = 15 * kSecond;  // since the last request; placement drops the demand as well
constexpr double kRemembered = 20;           // loads in the running mean
constexpr double kSafety = 1.25;             // a client that retries too early is refused again
constexpr Time kMin = 200 * kMillisecond;    // for an overdue load

}  // namespace

void LoadForecast::NoteMissing(Time now, Holding holding, Time load) {
  if (missing_.size() >= kMaxMissing && !missing_.contains(holding)) return;
  const auto [found, fresh] = missing_.try_emplace(holding, Missing{now, now, load});
  if (!fresh && now - found->second.last_asked > kForgetAfter) found->second.since = now;
  found->second.last_asked = now;
  found->second.load = load;
}

void LoadForecast::NoteRunners(Time now, const RunnerTable& runners) {
  std::erase_if(missing_, [&](const auto& item) {
    const auto& [holding, missing] = item;
    if (now - missing.last_asked > kForgetAfter) return true;
    if (!runners.AnyReady(holding)) return false;
    DelayOf(missing.load)
        .Add(static_cast<double>(std::max<Time>(0, now - missing.since - missing.load)), kRemembered);
    return true;
  });
}

Time LoadForecast::Remaining(Time now, Holding holding, Time load) const {
  const RunningMean& delay = DelayOf(load);
  const double safety = delay.weight > 1 ? kSafety : 1;
  const Time whole = load + static_cast<Time>(safety * delay.value);
  const auto found = missing_.find(holding);
  if (found == missing_.end()) return whole;
  return std::max(whole - (now - found->second.since), kMin);
}

}  // namespace lichenlug::routing
