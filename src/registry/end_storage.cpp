#include "registry/end_storage.h"

#include <algorithm>
#include <utility>

namespace lichenlug::registry {
namespace {

constexpr Time kRetryDelay = kSecond;  // after a failed write, as on a full disk
// The oldest one is dropped beyond that: its sender repeats the update.
constexpr std::size_t kMaxPendingAcknowledgements = 1024;

void SendAcknowledgement(const std::string& address, std::uint64_t number, bool ends_pending,
                         RegistryOutput* output) {
  auto& send = output->sends.emplace_back();
  send.address = address;
  send.message.mutable_ack()->set_number(number);
  send.message.mutable_ack()->set_ends_pending(ends_pending);
}

}  // namespace

void EndStorage::Opened(const std::vector<messages::RunnerRecord>& ends) {
  is_open_ = has_store_;
  for (const auto& record : ends) entries_[record.runner_id()].stored = AnnouncedEndOf(record);
}

bool EndStorage::NeedsWrite(Time now, const std::string& runner_id, AnnouncedEnd end) const {
  if (!is_open_ || end == AnnouncedEnd::kNone) return false;
  const auto found = entries_.find(runner_id);
  if (found == entries_.end()) return true;
  const Entry& entry = found->second;
  return end > std::max(entry.stored, entry.writing) && now >= entry.retry_at;
}

void EndStorage::Write(const messages::RunnerRecord& record, RegistryOutput* output) {
  const AnnouncedEnd end = AnnouncedEndOf(record);
  entries_[record.runner_id()].writing = end;
  pending_writes_[++last_token_] = {record.runner_id(), end};
  output->writes.push_back({record.runner_id(), record, last_token_});
}

void EndStorage::WriteDone(Time now, std::uint64_t token, bool written, RegistryOutput* output) {
  const auto found = pending_writes_.find(token);
  if (found == pending_writes_.end()) return;  // erased since
  const PendingWrite write = std::move(found->second);
  pending_writes_.erase(found);
  Entry& entry = entries_.at(write.runner_id);
  if (entry.writing == write.end) entry.writing = AnnouncedEnd::kNone;
  if (!written) {
    entry.retry_at = now + kRetryDelay;
    return;
  }
  entry.stored = std::max(entry.stored, write.end);
  entry.retry_at = 0;
  std::erase_if(pending_acknowledgements_, [&](const PendingAcknowledgement& pending) {
    if (!pending.ends.contains(write.runner_id) || !AreStored(pending.ends)) return false;
    SendAcknowledgement(pending.address, pending.number, /*ends_pending=*/false, output);
    return true;
  });
}

bool EndStorage::IsStored(const std::string& runner_id, AnnouncedEnd end) const {
  if (end == AnnouncedEnd::kNone) return false;
  const auto found = entries_.find(runner_id);
  return found != entries_.end() && found->second.stored >= end;
}

bool EndStorage::AreStored(const std::map<std::string, AnnouncedEnd>& ends) const {
  return std::all_of(ends.begin(), ends.end(),
                     [this](const auto& end) { return IsStored(end.first, end.second); });
}

void EndStorage::EraseUnless(const std::function<bool(const std::string& runner_id)>& keep,
                             RegistryOutput* output) {
  std::erase_if(entries_, [&](const auto& entry) {
    const std::string& runner_id = entry.first;
    if (keep(runner_id)) return false;
    std::erase_if(pending_writes_, [&](const auto& write) { return write.second.runner_id == runner_id; });
    output->writes.push_back({runner_id, std::nullopt, 0});
    return true;
  });
}

void EndStorage::Acknowledge(const std::string& address, const messages::RegistryUpdate& update,
                             RegistryOutput* output) {
  PendingAcknowledgement pending{address, update.number(), {}};
  for (const auto& record : update.records()) {
    const AnnouncedEnd end = AnnouncedEndOf(record);
    const bool is_ignored = record.runner_id().empty();
    if (has_store_ && end != AnnouncedEnd::kNone && !is_ignored) pending.ends[record.runner_id()] = end;
  }
  const bool ends_pending = !AreStored(pending.ends);
  SendAcknowledgement(address, update.number(), ends_pending, output);
  if (!ends_pending) return;
  if (pending_acknowledgements_.size() >= kMaxPendingAcknowledgements) pending_acknowledgements_.pop_front();
  pending_acknowledgements_.push_back(std::move(pending));
}

}  // namespace lichenlug::registry
