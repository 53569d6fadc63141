// Handles messages from other dispatchers.
#include <utility>

#include "registry/registry_impl.h"

namespace lichenlug::registry {

void Registry::Impl::Receive(Time now, const std::string& from_address,
                             const messages::RegistryMessage& message, RegistryOutput* output) {
  switch (message.body_case()) {
    case messages::RegistryMessage::kUpdate:
      ReceiveUpdate(now, from_address, message.update(), output);
      break;
    case messages::RegistryMessage::kAck:
      RecordAcknowledged(from_address, spread_.Acknowledged(now, from_address, message.ack(), &table_));
      break;
    case messages::RegistryMessage::kDigest:
      anti_entropy_.Receive(now, from_address, message.digest(), &table_, output);
      break;
    case messages::RegistryMessage::BODY_NOT_SET:
      break;
  }
  spread_.Flush(now, &table_, output);
}

void Registry::Impl::RecordAcknowledged(const std::string& address,
                                        const std::vector<std::string>& runner_ids) {
  for (const std::string& runner_id : runner_ids) {
    const TrackedRunner* runner = table_.Find(runner_id);
    const bool is_end = runner != nullptr && (runner->record.state() == messages::RUNNER_DRAINING ||
                                              runner->record.state() == messages::RUNNER_GONE);
    if (is_end) receipts_.Add(runner_id, address);
  }
}

void Registry::Impl::ReceiveUpdate(Time now, const std::string& from_address,
                                   const messages::RegistryUpdate& update, RegistryOutput* output) {
  for (const auto& record : update.records()) {
    if (record.runner_id().empty()) continue;
    const LossAction loss =
        update.wants_ack() ? LossAction::kAccept : ClassifyLoss(now, from_address, record);
    if (loss == LossAction::kAccept) ReceiveRecord(now, from_address, record, update.wants_ack(), output);
    if (loss != LossAction::kForwardToHome) continue;
    auto& send = output->sends.emplace_back();
    send.address = HomeOf(now, record).address;
    *send.message.mutable_update()->add_records() = record;
  }
  for (const auto& alive : update.alive()) ReceiveAlive(now, alive, output);
  if (update.wanted_size() > 0) anti_entropy_.SendRequested(now, from_address, update, &table_, output);
  anti_entropy_.OnUpdateMerged(&table_);
  if (update.wants_ack()) storage_.Acknowledge(from_address, update, output);
}

Registry::Impl::LossAction Registry::Impl::ClassifyLoss(Time now, const std::string& from_address,
                                                        const messages::RunnerRecord& record) {
  if (record.state() != messages::RUNNER_LOST) return LossAction::kAccept;
  const TrackedRunner* known = table_.Find(record.runner_id());
  if (known == nullptr || !WouldChange(VersionOf(known->record), VersionOf(record)))
    return LossAction::kAccept;
  if (known->last_call_count > record.call_count()) return LossAction::kAccept;  // the merge refutes it
  const Home& home = HomeOf(now, record);
  if (now - home.since < HomeTimeout()) return LossAction::kIgnore;
  return home.is_self || home.address == from_address ? LossAction::kAccept : LossAction::kForwardToHome;
}

void Registry::Impl::ReceiveRecord(Time now, const std::string& from_address,
                                   const messages::RunnerRecord& record, bool is_spread,
                                   RegistryOutput* output) {
  const bool is_home = HomeOf(now, record).is_self;  // also starts the timeout of the home
  TrackedRunner* runner = table_.Find(record.runner_id());
  if (runner == nullptr) {
    // An end that a dispatcher is about to acknowledge counts however long ago the runner ended.
    const bool is_announced = is_spread && AnnouncedEndOf(record) != AnnouncedEnd::kNone;
    if (!is_announced && !RunnerTable::ShouldAccept(record)) return;
    runner = table_.Add(now, record);
    if (runner == nullptr) return;
    output->changed = output->changed || IsAlive(record.state());
    return StoreEnd(now, *runner, output);
  }
  const bool was_alive = IsAlive(runner->record.state());
  const std::uint64_t count_before = runner->last_call_count;
  const bool may_refute = table_.FindAliveByAddress(runner->record.address(), record.runner_id()) == nullptr;
  const MergeResult result = MergeRecord(record, may_refute, runner);
  const bool is_alive = IsAlive(runner->record.state());
  if (was_alive && !is_alive) runner->ended_at = RunnerTable::EndedAt(now, record);
  if (runner->last_call_count > count_before) runner->last_heard = now;
  runner->record.clear_ended_ms_ago();
  StoreEnd(now, *runner, output);

  if (result == MergeResult::kRefuted) {
    RecordChange(now, runner, output);
  } else if (result == MergeResult::kChanged) {
    output->changed = true;
    spread_.RequeueIfPending(record.runner_id());
    // This dispatcher is the home and confirms the forwarded loss to all.
    if (is_home && !is_spread && record.state() == messages::RUNNER_LOST) RecordChange(now, runner, output);
  } else if (!is_alive && (IsAlive(record.state()) || !is_spread)) {
    // The sender does not know that the runner has ended.
    spread_.AddFor(from_address, record.runner_id());
  }
}

void Registry::Impl::ReceiveAlive(Time now, const messages::RegistryUpdate::Alive& alive,
                                  RegistryOutput* output) {
  TrackedRunner* runner = table_.Find(alive.runner_id());
  if (runner == nullptr || alive.call_count() <= runner->last_call_count) return;
  if (runner->record.state() == messages::RUNNER_GONE) return;
  if (!MayBeAlive(now, *runner, runner->record.address())) return;
  runner->last_call_count = alive.call_count();
  runner->last_heard = now;
  if (runner->record.state() != messages::RUNNER_LOST) return;
  runner->record.set_state(runner->record.was_draining() ? messages::RUNNER_DRAINING
                                                         : messages::RUNNER_READY);
  runner->record.clear_was_draining();
  runner->record.set_call_count(alive.call_count());
  RecordChange(now, runner, output);
}

}  // namespace lichenlug::registry
