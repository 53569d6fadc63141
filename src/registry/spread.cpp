#include "registry/spread.h"

#include <algorithm>
#include <utility>

#include "registry/hashing.h"

namespace lichenlug::registry {
namespace {

constexpr Time kRepeatAfter = 150 * kMillisecond;
constexpr int kQuickRepeats = 20;  // then at a quarter of the pace, until the peer counts as dead
constexpr Time kSlowRepeatAfter = 4 * kRepeatAfter;

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
  found->second.unacknowledged[runner_id] = 0;
  found->second.has_unsent = true;
}

std::vector<std::string> Spread::Acknowledged(const std::string& address, std::uint64_t number) {
  std::vector<std::string> held;
  const auto found = peers_.find(address);
  if (found == peers_.end() || number > last_number_) return held;
  std::erase_if(found->second.unacknowledged, [&](const auto& entry) {
    const bool is_held = entry.second != 0 && entry.second <= number;
    if (is_held) held.push_back(entry.first);
    return is_held;
  });
  return held;
}

void Spread::SendAnew(const std::string& runner_id) {
  for (const auto& [address, peer] : peers_) {
    if (peer.unacknowledged.contains(runner_id)) AddFor(address, runner_id);
  }
}

bool Spread::IsUnderWay(const std::string& address, const std::string& runner_id) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.unacknowledged.contains(runner_id);
}

void Spread::Flush(Time now, RunnerTable* table, RegistryOutput* output) {
  for (auto& [address, peer] : peers_) {
    if (!peer.has_unsent) continue;
    peer.repeats = 0;
    Send(now, address, &peer, table, output);
  }
}

void Spread::Tick(Time now, RunnerTable* table, RegistryOutput* output) {
  for (auto& [address, peer] : peers_) {
    if (peer.unacknowledged.empty() || now < peer.repeat_at) continue;
    ++peer.repeats;
    Send(now, address, &peer, table, output);
  }
}

std::optional<Time> Spread::NextTimer() const {
  std::optional<Time> next;
  for (const auto& [address, peer] : peers_)
    if (!peer.unacknowledged.empty()) next = std::min(next.value_or(peer.repeat_at), peer.repeat_at);
  return next;
}

void Spread::Send(Time now, const std::string& address, Peer* peer, RunnerTable* table,
                  RegistryOutput* output) {
  peer->has_unsent = false;
  std::erase_if(peer->unacknowledged,
                [table](const auto& entry) { return table->Find(entry.first) == nullptr; });
  if (peer->unacknowledged.empty()) return;

  RegistrySend send;
  send.address = address;
  auto* update = send.message.mutable_update();
  update->set_number(++last_number_);
  update->set_wants_ack(true);
  // Those alive first: a runner that has the address of another by now is known before that one's end.
  for (const bool alive : {true, false}) {
    for (auto& [runner_id, first_number] : peer->unacknowledged) {
      const TrackedRunner& runner = *table->Find(runner_id);
      if (IsAlive(runner.record.state()) != alive) continue;
      if (first_number == 0) first_number = last_number_;
      *update->add_records() = RunnerTable::ToSend(now, runner);
    }
  }
  peer->repeat_at = now + (peer->repeats < kQuickRepeats ? kRepeatAfter : kSlowRepeatAfter);
  output->sends.push_back(std::move(send));
}

}  // namespace lichenlug::registry
