#include "membership/failure_detector.h"

#include <algorithm>

namespace lichenlug::membership_ring {
namespace {

constexpr Time kPingInterval = 300 * kMillisecond;
constexpr int kMaxMultiplier = 8;
constexpr Time kClearSuspicionAfter = 10 * kSecond;
constexpr Time kRandomProbingDuration = 3 * kSecond;
constexpr std::size_t kMinProbes = 8, kMaxProbes = 64;  // per heartbeat period
constexpr std::size_t kMembersPerProbe = 10;            // probes one in this many live members

}  // namespace

void FailureDetector::UpdateWatches(Time now) {
  if (seen_ring_version_ == table_.ring_version()) return;
  seen_ring_version_ = table_.ring_version();
  const auto predecessors = table_.Predecessors(table_.self().name(), settings_.monitors);
  const auto is_predecessor = [&](const std::string& name) {
    return std::ranges::find(predecessors, name) != predecessors.end();
  };
  std::erase_if(watches_, [&](const auto& item) {
    const Entry* entry = table_.Find(item.first);
    return entry == nullptr || !IsLive(entry->record) || (!item.second.probed && !is_predecessor(item.first));
  });
  for (const std::string& name : predecessors) {
    const auto [watch, added] = watches_.try_emplace(name);
    if (added) watch->second.since = now;
    watch->second.probed = false;
  }
}

void FailureDetector::Check(Time now, Findings* findings) {
  UpdateWatches(now);
  std::size_t silent = 0, predecessors = 0;
  for (auto item = watches_.begin(); item != watches_.end();) {
    auto& [name, watch] = *item;
    const Entry* entry = table_.Find(name);
    if (entry == nullptr || (watch.probed && entry->last_heard > watch.since)) {
      item = watches_.erase(item);
      continue;
    }
    CheckWatched(now, name, watch, findings);
    predecessors += watch.probed ? 0 : 1;
    silent += !watch.probed && now - LastSignOfLife(*entry, watch) >= settings_.suspect_after ? 1 : 0;
    ++item;
  }
  if (silent >= 2 || (silent > 0 && silent == predecessors))
    random_probing_until_ = now + kRandomProbingDuration;
  CheckSuspects(now, findings);
}

Time FailureDetector::LastSignOfLife(const Entry& entry, const Watch& watch) const {
  return std::max(entry.last_heard, watch.since);
}

void FailureDetector::CheckWatched(Time now, const std::string& name, Watch& watch, Findings* findings) {
  Entry& entry = *table_.Find(name);
  if (!IsLive(entry.record)) return;
  if (entry.last_heard > watch.since) watch.timeout_multiplier = 1;
  const Time silence = now - LastSignOfLife(entry, watch);
  if (silence >= PingAfter() && now >= watch.next_ping) {
    watch.next_ping = now + kPingInterval;
    findings->ping.push_back(name);
  }
  if (silence >= SuspectAfter(watch) && table_.Suspect(now, entry)) findings->suspected.push_back(name);
  const bool timed_out = silence >= DeadAfter(watch) && entry.record.state() == messages::MEMBER_SUSPECT &&
                         now - entry.suspect_since >= kRefutationTime;
  if (timed_out && MonitorsAgree(entry)) {
    table_.DeclareDead(now, entry);
    findings->dead.push_back(name);
  }
}

// True if suspected by two monitors, or by all of its monitors that are not suspects themselves if fewer.
bool FailureDetector::MonitorsAgree(const Entry& entry) const {
  const auto monitors = table_.Successors(entry.record.name(), settings_.monitors);
  const auto trusted = std::ranges::count_if(monitors, [&](const std::string& monitor) {
    return table_.Find(monitor)->record.state() == messages::MEMBER_ALIVE;
  });
  return entry.record.suspected_by_size() >= std::min<std::ptrdiff_t>(kMaxSuspectingMonitors, trusted);
}

// Suspicions of other members: declared dead when confirmed, or cleared after a timeout.
void FailureDetector::CheckSuspects(Time now, Findings* findings) {
  const auto suspects = table_.suspects();
  for (const std::string& name : suspects) {
    Entry& entry = *table_.Find(name);
    if (entry.declare_dead_at && now >= *entry.declare_dead_at) {
      table_.DeclareDead(now, entry);
      findings->dead.push_back(name);
    } else if (now - entry.suspect_since >= kClearSuspicionAfter && !watches_.contains(name)) {
      table_.ClearSuspicion(entry);
    }
  }
}

std::optional<Time> FailureDetector::NextCheck(Time now) const {
  std::optional<Time> next;
  const auto consider = [&](Time at) {
    if (at > now && (!next || at < *next)) next = at;
  };
  for (const auto& [name, watch] : watches_) {
    const Entry* entry = table_.Find(name);
    if (entry == nullptr) continue;
    const Time last_sign_of_life = LastSignOfLife(*entry, watch);
    consider(std::max(last_sign_of_life + PingAfter(), watch.next_ping));
    consider(last_sign_of_life + SuspectAfter(watch));
    consider(last_sign_of_life + DeadAfter(watch));
  }
  for (const std::string& name : table_.suspects()) {
    const Entry& entry = *table_.Find(name);
    consider(entry.suspect_since + kRefutationTime);
    if (entry.declare_dead_at) consider(*entry.declare_dead_at);
  }
  return next;
}

void FailureDetector::ProbeRandomMembers(Time now, Findings* findings) {
  const std::size_t live = table_.live_count();
  if (now >= random_probing_until_ || live < 2) return;
  const std::size_t probes = std::min(std::clamp(live / kMembersPerProbe, kMinProbes, kMaxProbes), live);
  const std::size_t start = random_.Below(live);
  for (std::size_t i = 0; i < probes; ++i) {
    const std::string& name = table_.LiveAt((start + i) % live);
    if (name == table_.self().name()) continue;
    const auto [watch, added] = watches_.try_emplace(name);
    if (!added) continue;
    watch->second = {.since = now, .next_ping = now + kPingInterval, .probed = true};
    findings->ping.push_back(name);
  }
}

void FailureDetector::RestartTimeouts(Time now) {
  for (auto& [name, watch] : watches_) watch.since = now;
  random_probing_until_ = 0;
}

void FailureDetector::OnRefuted(Time now, const std::string& name) {
  const auto watch = watches_.find(name);
  if (watch == watches_.end()) return;
  watch->second.since = now;
  watch->second.timeout_multiplier = std::min(watch->second.timeout_multiplier * 2, kMaxMultiplier);
}

}  // namespace lichenlug::membership_ring
