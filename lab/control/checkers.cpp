#include "lab/control/checkers.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lichenlug::lab::control {

namespace {

constexpr std::size_t kMaxFindings = 64;
constexpr Time kCheckTolerance = 150 * kMillisecond;  // the checks run ten times a second

std::string Seconds(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", static_cast<double>(span) / kSecond);
  return text;
}

}  // namespace

void Violations::Record(Time at, const char* checker, std::string message) {
  if (all_.size() < kMaxFindings) all_.push_back({at, checker, std::move(message)});
}

void HistoryChecker::Acknowledged(Time now, const std::string& tag, std::int64_t base, std::int64_t edition) {
  const auto [accepted, is_first] = accepted_on_base_.try_emplace(base, tag);
  if (!is_first && accepted->second != tag)
    violations_->Record(now, "history",
                        tag + " and " + accepted->second + " were both accepted on the same base");
  changes_.try_emplace(tag, Change{now, edition});
  newest_ = std::max(newest_, edition);
}

void HistoryChecker::ReadAnswered(Time sent, Time now, const Version& version) {
  for (const auto& [tag, change] : changes_) {
    if (change.acknowledged_at >= sent) continue;
    const bool is_there = std::find(version.tags.begin(), version.tags.end(), tag) != version.tags.end();
    if (is_there) continue;
    violations_->Record(now, "history",
                        "a read of edition " + std::to_string(version.edition) + " lacks " + tag +
                            ", acknowledged " + Seconds(sent - change.acknowledged_at) +
                            " before the request was sent");
    return;
  }
}

void InForceChecker::Acknowledged(Time now, std::int64_t edition) {
  if (acknowledged_.empty() || acknowledged_.back().second < edition)
    acknowledged_.emplace_back(now, edition);
}

void InForceChecker::Check(Time now, MachineIndex machine, Time connected_since, std::int64_t edition) {
  for (const auto& [at, wanted] : acknowledged_) {
    const Time bound = std::max(at, connected_since) + bound_ + kCheckTolerance;
    if (now <= bound || edition >= wanted) continue;
    return violations_->Record(now, "in force",
                               "machine " + std::to_string(machine) + " has edition " +
                                   std::to_string(edition) + " although " + std::to_string(wanted) +
                                   " was acknowledged " + Seconds(now - at) + " ago");
  }
}

void DrainChecker::Acknowledged(Time now, const std::string& runner) {
  acknowledged_.try_emplace(runner, now);
}

void DrainChecker::Check(Time now, MachineIndex machine, Time connected_since,
                         const std::set<std::string>& ready_runners) {
  for (const auto& [runner, at] : acknowledged_) {
    if (now <= std::max(at, connected_since) + bound_ + kCheckTolerance || !ready_runners.contains(runner))
      continue;
    violations_->Record(now, "drains",
                        "machine " + std::to_string(machine) + " lists " + runner + " as ready " +
                            Seconds(now - at) + " after its drain was acknowledged");
  }
}

int HolderChecker::Called(Time now, MachineIndex machine, std::uint64_t fence, bool fence_checked) {
  ++calls_;
  const auto [holder, is_new] = holders_.try_emplace(fence, machine);
  if (holder->second != machine) {
    violations_->Record(now, "holders",
                        "machines " + std::to_string(holder->second) + " and " + std::to_string(machine) +
                            " call under fence " + std::to_string(fence));
  }
  const std::uint64_t highest = holders_.rbegin()->first;
  if (fence == highest) return 200;
  if (!fence_checked) {
    violations_->Record(now, "holders",
                        "machine " + std::to_string(machine) + " calls under fence " + std::to_string(fence) +
                            " after another has called under " + std::to_string(highest));
    return 200;
  }
  const auto known = refused_.find(machine);
  if (known != refused_.end() && known->second.fence == fence && now - known->second.at > lease_) {
    violations_->Record(now, "holders",
                        "machine " + std::to_string(machine) + " still calls " +
                            Seconds(now - known->second.at) + " after it was refused for a higher fence");
  }
  refused_.try_emplace(machine, Refused{fence, now});
  if (refused_[machine].fence != fence) refused_[machine] = {fence, now};
  return 412;
}

}  // namespace lichenlug::lab::control
