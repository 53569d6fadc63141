#include "registry/spread.h"

#include <algorithm>
#include <utility>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

// From the second retransmission on the wait doubles, up to a bound (RFC 6298, section 5.5), so that
// acknowledgements delayed by congestion do not cause more of it.
constexpr int kMaxRepeatsCounted = 3;
// Message numbers remembered per record; the acknowledgement of an older message is ignored.
constexpr std::size_t kMaxNumbersKept = 4;
// Changes per message, not counting ends; this bounds the unacknowledged changes of each peer.
constexpr std::size_t kMaxChangesAtOnce = 8;

bool AnnouncesEnd(const TrackedRunner* runner) {
  return runner != nullptr && AnnouncedEndOf(runner->record) != AnnouncedEnd::kNone;
}

}  // namespace

Spread::Spread(std::uint64_t seed) : last_number_(MixBits(seed + 1) >> 16) {}

std::vector<std::string> Spread::SetPeers(const std::vector<Member>& live) {
  std::map<std::string, Peer> peers;
  std::vector<std::string> added;
  for (const Member& member : live) {
    const auto known = peers_.find(member.address);
    const bool is_same = known != peers_.end() && known->second.name == member.name &&
                         known->second.incarnation == member.incarnation;
    if (is_same) {
      peers[member.address] = std::move(known->second);
      continue;
    }
    Peer& peer = peers[member.address];
    peer.name = member.name;
    peer.incarnation = member.incarnation;
    added.push_back(member.address);
  }
  peers_ = std::move(peers);
  repeats_.clear();
  for (const auto& [address, peer] : peers_)
    if (peer.repeat_at) repeats_.emplace(*peer.repeat_at, address);
  return added;
}

void Spread::Add(const std::string& runner_id) {
  for (const auto& [address, peer] : peers_) AddFor(address, runner_id);
}

void Spread::AddFor(const std::string& address, const std::string& runner_id) {
  const auto found = peers_.find(address);
  if (found == peers_.end()) return;
  found->second.pending[runner_id] = {};
  found->second.has_unsent = true;
  may_send_.insert(address);
}

std::vector<std::string> Spread::SentIn(const Peer& peer, std::uint64_t number) {
  std::vector<std::string> runner_ids;
  for (const auto& [runner_id, pending] : peer.pending) {
    const auto& sent_in = pending.sent_in;
    if (std::find(sent_in.begin(), sent_in.end(), number) != sent_in.end()) runner_ids.push_back(runner_id);
  }
  return runner_ids;
}

std::vector<std::string> Spread::Acknowledged(Time now, const std::string& address,
                                              const messages::RegistryAck& ack, RunnerTable* table) {
  std::vector<std::string> held;
  const auto found = peers_.find(address);
  if (found == peers_.end() || ack.number() > last_number_) return held;
  for (const std::string& runner_id : SentIn(found->second, ack.number())) {
    Pending& pending = found->second.pending.at(runner_id);
    if (pending.sent_in.size() == 1 && !pending.is_received) delay_.Note(now - pending.sent_at);
    pending.is_received = true;
    if (ack.ends_pending() && AnnouncesEnd(table->Find(runner_id))) continue;
    held.push_back(runner_id);
    found->second.pending.erase(runner_id);
  }
  if (found->second.pending.empty()) ScheduleRepeat(address, &found->second, std::nullopt);
  if (found->second.has_unsent) may_send_.insert(address);
  return held;
}

void Spread::RequeueIfPending(const std::string& runner_id) {
  for (const auto& [address, peer] : peers_) {
    if (peer.pending.contains(runner_id)) AddFor(address, runner_id);
  }
}

bool Spread::IsInFlight(const std::string& address, const std::string& runner_id) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.pending.contains(runner_id);
}

void Spread::Flush(Time now, RunnerTable* table, RegistryOutput* output) {
  for (const std::string& address : std::exchange(may_send_, {})) {
    const auto found = peers_.find(address);
    if (found == peers_.end() || !found->second.has_unsent) continue;
    Peer& peer = found->second;
    if (!AwaitsAcknowledgement(peer) || HasUnsentEnd(peer, table)) Send(now, address, &peer, table, output);
  }
}

void Spread::Tick(Time now, RunnerTable* table, RegistryOutput* output) {
  std::vector<std::string> due;
  for (const auto& [at, address] : repeats_) {
    if (now < at) break;
    due.push_back(address);
  }
  for (const std::string& address : due) Send(now, address, &peers_.at(address), table, output);
}

std::optional<Time> Spread::NextTimer() const {
  return repeats_.empty() ? std::nullopt : std::optional(repeats_.begin()->first);
}

void Spread::ScheduleRepeat(const std::string& address, Peer* peer, std::optional<Time> at) {
  if (peer->repeat_at == at) return;
  if (peer->repeat_at) repeats_.erase({*peer->repeat_at, address});
  if (at) repeats_.emplace(*at, address);
  peer->repeat_at = at;
}

bool Spread::IsDue(Time now, const Pending& pending) {
  return pending.sent_in.empty() || pending.repeat_at <= now;
}

bool Spread::AwaitsAcknowledgement(const Peer& peer) {
  return std::any_of(peer.pending.begin(), peer.pending.end(), [](const auto& entry) {
    return !entry.second.sent_in.empty() && !entry.second.is_received;
  });
}

bool Spread::HasUnsentEnd(const Peer& peer, RunnerTable* table) {
  return std::any_of(peer.pending.begin(), peer.pending.end(), [table](const auto& entry) {
    const TrackedRunner* runner = entry.second.sent_in.empty() ? table->Find(entry.first) : nullptr;
    return runner != nullptr && runner->record.state() != messages::RUNNER_READY;
  });
}

void Spread::RecordSent(Time now, std::uint64_t number, Pending* pending) {
  if (pending->sent_in.empty())
    pending->sent_at = now;
  else
    pending->repeats = std::min(pending->repeats + 1, kMaxRepeatsCounted);
  if (pending->sent_in.size() >= kMaxNumbersKept) pending->sent_in.erase(pending->sent_in.begin());
  pending->sent_in.push_back(number);
  const Time wait = delay_.Wait() << std::max(0, pending->repeats - 1);
  pending->repeat_at = now + std::min(wait, kMaxRepeatAfter);
}

// Live runners come first, so that a runner that took over an address is known before the end of the previous
// runner there.
std::vector<std::string> Spread::CollectDue(Time now, const Peer& peer, RunnerTable* table) const {
  std::vector<std::string> changes, ends;
  for (const auto& [runner_id, pending] : peer.pending) {
    if (!IsDue(now, pending)) continue;
    const messages::RunnerState state = table->Find(runner_id)->record.state();
    (IsAlive(state) ? changes : ends).push_back(runner_id);
  }
  if (!HasUnsentEnd(peer, table) && changes.size() > kMaxChangesAtOnce) changes.resize(kMaxChangesAtOnce);
  changes.insert(changes.end(), ends.begin(), ends.end());
  return changes;
}

void Spread::Send(Time now, const std::string& address, Peer* peer, RunnerTable* table,
                  RegistryOutput* output) {
  std::erase_if(peer->pending, [table](const auto& entry) { return table->Find(entry.first) == nullptr; });
  const std::vector<std::string> due = CollectDue(now, *peer, table);
  if (!due.empty()) {
    RegistrySend send;
    send.address = address;
    auto* update = send.message.mutable_update();
    update->set_number(++last_number_);
    update->set_wants_ack(true);
    for (const std::string& runner_id : due) {
      *update->add_records() = RunnerTable::RecordToSend(now, *table->Find(runner_id));
      RecordSent(now, update->number(), &peer->pending.at(runner_id));
    }
    output->sends.push_back(std::move(send));
  }
  peer->has_unsent = false;
  std::optional<Time> repeat_at;
  for (const auto& [runner_id, pending] : peer->pending) {
    if (pending.sent_in.empty())
      peer->has_unsent = true;
    else
      repeat_at = std::min(repeat_at.value_or(pending.repeat_at), pending.repeat_at);
  }
  ScheduleRepeat(address, peer, repeat_at);
}

}  // namespace lichenlug::registry
