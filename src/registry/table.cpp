#include "registry/table.h"

#include <algorithm>
#include <utility>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

constexpr Time kTombstoneLifetime = 120 * kSecond;
// Well below kTombstoneLifetime, so that removed entries are not relearned from other dispatchers.
constexpr Time kDigestEndedAge = 60 * kSecond;
constexpr std::size_t kMaxTombstones = 4096;

// Records of one runner that agree in their version (merge.h) are the same, except for the durations.
bool IsSameRecord(const messages::RunnerRecord& left, const messages::RunnerRecord& right) {
  return left.call_count() == right.call_count() && left.state() == right.state() &&
         left.cold_ms() == right.cold_ms() && left.remaining_ms() == right.remaining_ms();
}

bool InDigest(Time now, const TrackedRunner& runner) {
  return IsAlive(runner.record.state()) || now - runner.ended_at < kDigestEndedAge;
}

}  // namespace

TrackedRunner* RunnerTable::Find(const std::string& runner_id) {
  const auto found = runners_.find(runner_id);
  return found == runners_.end() ? nullptr : &found->second;
}

TrackedRunner* RunnerTable::Add(Time now, const messages::RunnerRecord& record) {
  if (runners_.size() >= max_runners_ + kMaxTombstones) return nullptr;
  if (IsAlive(record.state()) && runners_.size() >= max_runners_) {
    const auto alive = std::count_if(runners_.begin(), runners_.end(),
                                     [](const auto& entry) { return IsAlive(entry.second.record.state()); });
    if (static_cast<std::size_t>(alive) >= max_runners_) return nullptr;
  }
  TrackedRunner& runner = runners_[record.runner_id()];
  runner.record = record;
  if (record.state() == messages::RUNNER_GONE) MarkGone(&runner.record);
  runner.last_call_count = record.call_count();
  runner.last_heard = now;
  if (!IsAlive(record.state())) runner.ended_at = EndedAt(now, record);
  runner.record.clear_ended_ms_ago();
  return &runner;
}

TrackedRunner* RunnerTable::FindAliveByAddress(const std::string& address,
                                               const std::string& excluded_runner) {
  for (auto& [runner_id, runner] : runners_) {
    if (IsAlive(runner.record.state()) && runner.record.address() == address && runner_id != excluded_runner)
      return &runner;
  }
  return nullptr;
}

RunnerList RunnerTable::Alive() {
  RunnerList alive;
  for (auto& [runner_id, runner] : runners_) {
    if (!IsAlive(runner.record.state())) continue;
    if (runner.listed == nullptr || !IsSameRecord(*runner.listed, runner.record))
      runner.listed = std::make_shared<const messages::RunnerRecord>(runner.record);
    alive.push_back(runner.listed);
  }
  return alive;
}

void RunnerTable::RemoveExpired(Time now) {
  std::vector<std::pair<Time, std::string>> ended;
  for (const auto& [runner_id, runner] : runners_)
    if (!IsAlive(runner.record.state())) ended.emplace_back(runner.ended_at, runner_id);
  std::sort(ended.begin(), ended.end());
  for (std::size_t i = 0; i < ended.size(); ++i) {
    const bool too_many = ended.size() - i > kMaxTombstones;
    if (too_many || now - ended[i].first >= kTombstoneLifetime) runners_.erase(ended[i].second);
  }
}

std::uint64_t RunnerTable::Hash(Time now) const {
  std::uint64_t sum = 0;
  for (const auto& [runner_id, runner] : runners_) {
    if (!InDigest(now, runner)) continue;
    const Version version = VersionOf(runner.record);
    sum += MixBits(HashOf({runner_id}) ^ MixBits(version.call_count * 4 + version.state + 1));
  }
  return MixBits(sum);
}

void RunnerTable::Describe(Time now, messages::RegistryDigest* digest) const {
  for (const auto& [runner_id, runner] : runners_) {
    if (!InDigest(now, runner)) continue;
    auto* entry = digest->add_entries();
    entry->set_runner_id(runner_id);
    entry->set_call_count(runner.record.call_count());
    entry->set_state(runner.record.state());
  }
}

bool RunnerTable::ShouldAccept(const messages::RunnerRecord& record) {
  return IsAlive(record.state()) || record.ended_ms_ago() < kDigestEndedAge / kMillisecond;
}

Time RunnerTable::EndedAt(Time now, const messages::RunnerRecord& record) {
  return now - std::clamp<Time>(record.ended_ms_ago(), 0, kTombstoneLifetime / kMillisecond) * kMillisecond;
}

messages::RunnerRecord RunnerTable::RecordToSend(Time now, const TrackedRunner& runner) {
  messages::RunnerRecord record = runner.record;
  if (!IsAlive(record.state()))
    record.set_ended_ms_ago(std::max<Time>(0, now - runner.ended_at) / kMillisecond);
  return record;
}

messages::RunnerRecord RunnerTable::RecordToStore(Time now, const TrackedRunner& runner) {
  messages::RunnerRecord record = RecordToSend(now, runner);
  if (record.state() != messages::RUNNER_GONE) return record;
  messages::RunnerRecord gone;
  gone.set_runner_id(record.runner_id());
  gone.set_ended_ms_ago(record.ended_ms_ago());
  MarkGone(&gone);
  return gone;
}

}  // namespace lichenlug::registry
