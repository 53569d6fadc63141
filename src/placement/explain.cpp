// Explains the current placement to the operator.
#include <cstdio>
#include <set>

#include "placement/placement_impl.h"

namespace lichenlug::placement {
namespace {

constexpr std::size_t kMaxNames = 8;
constexpr std::size_t kMaxNotices = 20;  // between two calls of TakeNotices()

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

}  // namespace

void Placement::Impl::NoteMissing(Time now) {
  std::set<Key> missing;
  for (const auto& [key, goal] : planner_.copy_goals())
    if (view_.HoldersOf(key).empty()) missing.insert(key);
  const auto held = [this](const Key& key) { return !view_.HoldersOf(key).empty(); };
  for (const MissingWatch::Notice& notice : missing_.Update(now, missing, held)) {
    if (notices_.size() >= kMaxNotices) return;
    const Demand& demand = notice.key.is_model() ? demand_.OfModel(notice.key.model) : demand_.Of(notice.key);
    notices_.push_back((notice.held_now ? "held again after " : "held by no runner for ") +
                       std::to_string(notice.missing_for / kMillisecond) +
                       " ms: " + ExplainKey(now, notice.key, demand));
  }
}

std::vector<std::string> Placement::Impl::Explain(Time now) const {
  std::vector<std::string> lines;
  if (!active_)
    return {settings_.service +
            ": this dispatcher doesn't hold the placement duty, or no engine is configured"};
  lines.push_back(settings_.service + ": epoch " + std::to_string(epoch_) + ", " +
                  std::to_string(budget_.Remaining(now)) + " loads left in this window" +
                  (now < settle_until_ ? ", waiting for runner records after a takeover" : ""));
  for (const auto& [model, demand] : demand_.models())
    if (demand.present()) lines.push_back(ExplainKey(now, {model, ""}, demand));
  for (const auto& [key, demand] : demand_.keys())
    if (!key.is_model() && demand.present()) lines.push_back(ExplainKey(now, key, demand));
  for (const RunnerView& runner : view_.runners) lines.push_back(ExplainRunner(runner));
  return lines;
}

std::string Placement::Impl::ExplainKey(Time now, const Key& key, const Demand& demand) const {
  std::string line = ToText(key) + ": " + FormatNumber(demand.arrivals_per_s) + "/s, " +
                     FormatNumber(demand.running) + " running, " + FormatNumber(demand.unserved) +
                     " unserved; on";
  std::size_t named = 0;
  const auto& holders = view_.HoldersOf(key);
  for (std::size_t holder : holders)
    if (named++ < kMaxNames) line += ' ' + view_.runners[holder].id;
  if (holders.empty()) line += " no runner";
  if (named > kMaxNames) line += " and " + std::to_string(named - kMaxNames) + " more";
  const auto goal = planner_.copy_goals().find(key);
  if (goal != planner_.copy_goals().end()) {
    line += "; wants " + std::to_string(goal->second.copies);
    if (*goal->second.blocked_reason) line += std::string(" (") + goal->second.blocked_reason + ')';
  }
  for (const auto& [id, runner] : runners_)
    if (runner.intent && runner.intent->target == key)
      line += "; assigned to " + id + ": " + ToText(runner.intent->urgency) + ", " +
              FormatNumber(static_cast<double>(now - runner.intent->since) / kSecond) + " s";
  return line;
}

std::string Placement::Impl::ExplainRunner(const RunnerView& runner) const {
  std::string line = "runner " + runner.id + " in " + runner.zone + ": " +
                     FormatNumber(catalog_.capacity_mb() - catalog_.MegabytesOf(runner.may_hold)) +
                     " MB and " + std::to_string(catalog_.adapter_slots() - runner.may_hold.adapter_count()) +
                     " adapter slots free, about " + FormatNumber(runner.load) + " running requests; holds";
  for (const auto& [model, adapters] : runner.held.models()) {
    line += ' ' + model;
    for (const std::string& adapter : adapters) line += '/' + adapter;
  }
  return line;
}

}  // namespace lichenlug::placement
