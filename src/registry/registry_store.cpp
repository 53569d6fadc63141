// Keeps announced ends of runners on disk, and restores them after a restart.
#include "registry/registry_impl.h"

namespace lichenlug::registry {

bool Registry::Impl::IsEndStored(const std::string& runner_id) {
  const TrackedRunner* runner = table_.Find(runner_id);
  return runner != nullptr && storage_.IsStored(runner_id, AnnouncedEndOf(runner->record));
}

void Registry::Impl::StoreEnd(Time now, const TrackedRunner& runner, RegistryOutput* output) {
  const AnnouncedEnd end = AnnouncedEndOf(runner.record);
  if (storage_.NeedsWrite(now, runner.record.runner_id(), end))
    storage_.Write(RunnerTable::RecordToStore(now, runner), output);
}

void Registry::Impl::StoreEnds(Time now, RegistryOutput* output) {
  for (const auto& [runner_id, runner] : table_.runners()) StoreEnd(now, runner, output);
}

void Registry::Impl::StoreOpened(Time now, const std::vector<messages::RunnerRecord>& ends,
                                 RegistryOutput* output) {
  storage_.Opened(ends);
  for (const auto& end : ends) RestoreEnd(now, end, output);
  StoreEnds(now, output);  // those learned before the store was open
  spread_.Flush(now, &table_, output);
}

// Other dispatchers learn of a restored end through anti-entropy. If it changes what was learned since the
// start, that was spread, so the end is spread, too.
void Registry::Impl::RestoreEnd(Time now, const messages::RunnerRecord& end, RegistryOutput* output) {
  if (TrackedRunner* known = table_.Find(end.runner_id())) {
    if (MergeRecord(end, /*may_refute=*/false, known) == MergeResult::kChanged)
      RecordChange(now, known, output);
    return;
  }
  TrackedRunner* restored = table_.Add(now, end);
  if (restored == nullptr || !IsAlive(end.state())) return;
  output->changed = true;
  const bool is_replaced = table_.FindAliveByAddress(end.address(), end.runner_id()) != nullptr;
  if (is_replaced) DeclareLost(now, restored, output);
}

void Registry::Impl::WriteDone(Time now, std::uint64_t token, bool written, RegistryOutput* output) {
  storage_.WriteDone(now, token, written, output);
}

}  // namespace lichenlug::registry
