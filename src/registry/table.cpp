#include "registry/table.h"

#include <algorithm>
#include <utility>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

constexpr Time kKeepEnded = 120 * kSecond;
constexpr Time kCompareEnded =
    60 * kSecond;  // well below kKeepEnded, so that removed entries are not relearned
constexpr std::size_t kMaxEnded = 4096;

bool InDigest(Time now, const TrackedRunner& runner) {
  return IsAlive(runner.record.state()) || now - runner.ended_at < kCompareEnded;
}

}  // namespace

TrackedRunner* RunnerTable::Find(const std::string& runner_id) {
  const auto found = runners_.find(runner_id);
  return found == runners_.end() ? nullptr : &found->second;
}

TrackedRunner* RunnerTable::Add(Time now, const messages::RunnerRecord& record) {
  if (runners_.size() >= max_runners_ + kMaxEnded) return nullptr;
  if (IsAlive(record.state()) && runners_.size() >= max_runners_) {
    const auto alive = std::count_if(runners_.begin(), runners_.end(),
                                     [](const auto& entry) { return IsAlive(entry.second.record.state()); });
    if (static_cast<std::size_t>(alive) >= max_runners_) return nullptr;
  }
  TrackedRunner& runner = runners_[record.runner_id()];
  runner.record = record;
  if (record.state() == messages::RUNNER_GONE) MarkGone(&runner.record);
  runner.heard_count = record.call_count();
  runner.last_heard = now;
  if (!IsAlive(record.state())) runner.ended_at = EndedAt(now, record);
  runner.record.clear_ended_ms_ago();
  return &runner;
}

TrackedRunner* RunnerTable::HolderOfAddress(const std::string& address, const std::string& other_than) {
  for (auto& [runner_id, runner] : runners_) {
    if (IsAlive(runner.record.state()) && runner.record.address() == address && runner_id != other_than)
      return &runner;
  }
  return nullptr;
}

std::vector<messages::RunnerRecord> RunnerTable::Alive() const {
  std::vector<messages::RunnerRecord> alive;
  for (const auto& [runner_id, runner] : runners_)
    if (IsAlive(runner.record.state())) alive.push_back(runner.record);
  return alive;
}

void RunnerTable::DropEnded(Time now) {
  std::vector<std::pair<Time, std::string>> ended;
  for (const auto& [runner_id, runner] : runners_)
    if (!IsAlive(runner.record.state())) ended.emplace_back(runner.ended_at, runner_id);
  std::sort(ended.begin(), ended.end());
  for (std::size_t i = 0; i < ended.size(); ++i) {
    const bool too_many = ended.size() - i > kMaxEnded;
    if (too_many || now - ended[i].first >= kKeepEnded) runners_.erase(ended[i].second);
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

bool RunnerTable::WorthLearning(const messages::RunnerRecord& record) {
  return IsAlive(record.state()) || record.ended_ms_ago() < kCompareEnded / kMillisecond;
}

Time RunnerTable::EndedAt(Time now, const messages::RunnerRecord& record) {
  return now - std::clamp<Time>(record.ended_ms_ago(), 0, kKeepEnded / kMillisecond) * kMillisecond;
}

messages::RunnerRecord RunnerTable::ToSend(Time now, const TrackedRunner& runner) {
  messages::RunnerRecord record = runner.record;
  if (!IsAlive(record.state()))
    record.set_ended_ms_ago(std::max<Time>(0, now - runner.ended_at) / kMillisecond);
  return record;
}

}  // namespace lichenlug::registry
