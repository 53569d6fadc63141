#include "registry/spread.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

// From the second repeat on the wait doubles, up to a bound (RFC 6298, section 5.5): an answer that is late
// because links are full must not fill them further.
constexpr Time kFirstRepeatAfter = 150 * kMillisecond;
constexpr int kMostRepeatsCounted = 3;
// Of messages that held a record; the acknowledgement of an older one is not counted.
constexpr std::size_t kMostNumbersKept = 4;

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
}

std::vector<std::string> Spread::Acknowledged(const std::string& address, std::uint64_t number) {
  std::vector<std::string> held;
  const auto found = peers_.find(address);
  if (found == peers_.end() || number > last_number_) return held;
  std::erase_if(found->second.pending, [&](const auto& entry) {
    const auto& sent_in = entry.second.sent_in;
    const bool is_held = std::find(sent_in.begin(), sent_in.end(), number) != sent_in.end();
    if (is_held) held.push_back(entry.first);
    return is_held;
  });
  return held;
}

void Spread::SendAnew(const std::string& runner_id) {
  for (const auto& [address, peer] : peers_) {
    if (peer.pending.contains(runner_id)) AddFor(address, runner_id);
  }
}

bool Spread::IsUnderWay(const std::string& address, const std::string& runner_id) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.pending.contains(runner_id);
}

void Spread::Flush(Time now, RunnerTable* table, RegistryOutput* output) {
  for (auto& [address, peer] : peers_) {
    if (!peer.has_unsent) continue;
    Send(now, address, &peer, table, output);
  }
}

void Spread::Tick(Time now, RunnerTable* table, RegistryOutput* output) {
  for (auto& [address, peer] : peers_) {
    if (peer.pending.empty() || now < peer.repeat_at) continue;
    Send(now, address, &peer, table, output);
  }
}

std::optional<Time> Spread::NextTimer() const {
  std::optional<Time> next;
  for (const auto& [address, peer] : peers_)
    if (!peer.pending.empty()) next = std::min(next.value_or(peer.repeat_at), peer.repeat_at);
  return next;
}

bool Spread::IsDue(Time now, const Pending& pending) {
  return pending.sent_in.empty() || pending.repeat_at <= now;
}

void Spread::NoteSent(Time now, std::uint64_t number, Pending* pending) {
  if (!pending->sent_in.empty()) pending->repeats = std::min(pending->repeats + 1, kMostRepeatsCounted);
  if (pending->sent_in.size() >= kMostNumbersKept) pending->sent_in.erase(pending->sent_in.begin());
  pending->sent_in.push_back(number);
  pending->repeat_at = now + (kFirstRepeatAfter << std::max(0, pending->repeats - 1));
}

void Spread::Send(Time now, const std::string& address, Peer* peer, RunnerTable* table,
                  RegistryOutput* output) {
  peer->has_unsent = false;
  std::erase_if(peer->pending, [table](const auto& entry) { return table->Find(entry.first) == nullptr; });

  RegistrySend send;
  send.address = address;
  auto* update = send.message.mutable_update();
  update->set_number(last_number_ + 1);
  update->set_wants_ack(true);
  // Those alive first: a runner that has the address of another by now is known before that one's end.
  for (const bool alive : {true, false}) {
    for (const auto& [runner_id, pending] : peer->pending) {
      const TrackedRunner& runner = *table->Find(runner_id);
      if (IsAlive(runner.record.state()) != alive || !IsDue(now, pending)) continue;
      *update->add_records() = RunnerTable::ToSend(now, runner);
    }
  }
  Time next = std::numeric_limits<Time>::max();
  for (auto& [runner_id, pending] : peer->pending) {
    if (IsDue(now, pending)) NoteSent(now, update->number(), &pending);
    next = std::min(next, pending.repeat_at);
  }
  peer->repeat_at = next;
  if (update->records_size() == 0) return;
  ++last_number_;
  output->sends.push_back(std::move(send));
}

}  // namespace lichenlug::registry
