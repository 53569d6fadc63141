#include "quarantine/gossip.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>

#include "quarantine/codec.h"
#include "quarantine/gossip_messages.h"

namespace lichenlug {

using namespace gossip_messages;

namespace {

// Packs tickets into as few bodies as possible.
class Packer {
 public:
  explicit Packer(MessageType type) : type_(type) {}
  // Returns false if the ticket would need more than `max_bodies` bodies.
  bool Add(const Fingerprint& job, const Ticket& ticket, Time now, int max_bodies) {
    const std::string record = Encode(job, ticket, now);
    if (bodies_.empty() || bodies_.back().size() + 1 + record.size() > PeerProtocol::kMaxBody) {
      if (static_cast<int>(bodies_.size()) >= max_bodies) return false;
      bodies_.push_back(Head(type_));
    }
    PutNumber(&bodies_.back(), static_cast<std::uint8_t>(record.size()));
    bodies_.back() += record;
    return true;
  }
  const std::vector<std::string>& bodies() const { return bodies_; }

 private:
  MessageType type_;
  std::vector<std::string> bodies_;
};

}  // namespace

std::uint32_t Gossip::DigestOfDecisions(const Decisions& decisions) {
  std::string bytes;
  for (const Decisions::Dot& dot : decisions.dots())
    PutNumber(&bytes, dot.by), PutNumber(&bytes, dot.count),
        PutNumber(&bytes, static_cast<std::uint8_t>(dot.what));
  return static_cast<std::uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

void Gossip::SetMembers(int own, const std::vector<int>& counted) {
  own_ = own;
  peers_ = counted;
  std::erase(peers_, own);
}

int Gossip::RoundsPerChange() const { return 1 + std::bit_width(peers_.size() + 1); }

void Gossip::Changed(const Fingerprint& job, bool urgent) {
  if (peers_.empty()) return;  // checksum comparison finds it once there are peers
  if (const auto it = dirty_.find(job); it != dirty_.end()) {
    it->second = RoundsPerChange();
  } else if (dirty_.size() < kMaxDirty) {
    dirty_[job] = RoundsPerChange();
    send_order_.push_back(job);
  }
  if (urgent && urgent_.size() < kMaxPendingDecisions && std::ranges::find(urgent_, job) == urgent_.end())
    urgent_.push_back(job);
}

void Gossip::CountHolders(const Fingerprint& job, const Ticket& ticket, Time now) {
  const std::uint32_t digest = DigestOfDecisions(ticket.decisions);
  if (const auto it = pending_.find(job); it != pending_.end() && it->second.decisions == digest) {
    it->second.requests = 0;
    return;
  }
  if (pending_.size() >= kMaxPendingDecisions && !pending_.contains(job))
    pending_.erase(std::ranges::min_element(pending_, {}, [](const auto& it) { return it.second.since; }));
  pending_[job] = {.decisions = digest, .holders = {}, .next = now, .since = now};
}

int Gossip::Holders(const Fingerprint& job, const Ticket& ticket) const {
  const auto it = pending_.find(job);
  if (it == pending_.end() || it->second.decisions != DigestOfDecisions(ticket.decisions)) return 1;
  return 1 + static_cast<int>(it->second.holders.size());
}

Time Gossip::DueAt(Time now) const {
  if (peers_.empty()) return 0;
  if (!urgent_.empty() || !answers_.empty()) return now;
  Time due = next_compare_;
  if (!dirty_.empty() || !missing_.empty()) due = std::min(due, next_round_);
  for (const auto& [job, it] : pending_)
    if (it.requests < kMaxRequests) due = std::min(due, it.next);
  return std::max<Time>(due, 1);
}

std::vector<int> Gossip::RandomPeers(int count) {
  std::vector<int> selected;
  const int max_count = std::min<int>(count, static_cast<int>(peers_.size()));
  while (static_cast<int>(selected.size()) < max_count) {
    const int peer = peers_[random_(static_cast<std::uint32_t>(peers_.size()))];
    if (std::ranges::find(selected, peer) == selected.end()) selected.push_back(peer);
  }
  return selected;
}

std::vector<PeerProtocol::Datagram> Gossip::MakeDatagrams(const Table& table, Time now) {
  std::vector<PeerProtocol::Datagram> datagrams = std::move(answers_);
  answers_.clear();
  if (peers_.empty()) return datagrams;
  SendUrgent(table, now, &datagrams);
  if (now >= next_round_ && (!dirty_.empty() || !missing_.empty())) {
    next_round_ = now + kRound;
    SendRound(table, now, &datagrams);
    SendMissing(table, now, &datagrams);
  }
  SendToHolders(table, now, &datagrams);
  if (now >= next_compare_) SendChecksums(table, now, &datagrams);
  return datagrams;
}

void Gossip::SendUrgent(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams) {
  if (budget_at_ != 0)
    budget_ = std::min(kMaxBroadcastBytes,
                       budget_ + kBroadcastBytesPerSecond * static_cast<double>(now - budget_at_) / kSecond);
  budget_at_ = now;
  Packer packer(kTickets);
  for (const Fingerprint& job : urgent_)
    if (const Ticket* ticket = table.Find(job)) packer.Add(job, *ticket, now, kMaxBodies);
  urgent_.clear();
  for (const std::string& body : packer.bodies()) {
    const double cost = static_cast<double>(body.size() * peers_.size());
    if (cost > budget_) break;
    budget_ -= cost;
    datagrams->push_back({PeerProtocol::kAll, body});
  }
}

void Gossip::SendRound(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams) {
  Packer packer(kTickets);
  for (std::size_t turns = send_order_.size(); turns > 0; --turns) {
    const Fingerprint job = send_order_.front();
    const Ticket* ticket = table.Find(job);
    if (ticket != nullptr && !packer.Add(job, *ticket, now, kMaxBodies)) break;
    send_order_.pop_front();
    const auto it = dirty_.find(job);
    if (ticket == nullptr || --it->second <= 0)
      dirty_.erase(it);
    else
      send_order_.push_back(job);
  }
  for (const int peer : RandomPeers(kPeersPerRound))
    for (const std::string& body : packer.bodies()) datagrams->push_back({peer, body});
}

void Gossip::SendMissing(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams) {
  if (missing_.empty()) return;
  const int peer = missing_.front().first;
  Packer packer(kTickets);
  while (!missing_.empty() && missing_.front().first == peer) {
    const Ticket* ticket = table.Find(missing_.front().second);
    if (ticket != nullptr && !packer.Add(missing_.front().second, *ticket, now, kMaxBodies)) break;
    missing_.pop_front();
  }
  for (const std::string& body : packer.bodies()) datagrams->push_back({peer, body});
}

void Gossip::SendToHolders(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams) {
  for (auto& [job, it] : pending_) {
    if (it.requests >= kMaxRequests || now < it.next) continue;
    const Ticket* ticket = table.Find(job);
    it.next = now + 2 * kRound, it.requests += 1;
    if (ticket == nullptr || DigestOfDecisions(ticket->decisions) != it.decisions) {
      it.requests = kMaxRequests;
      continue;
    }
    if (static_cast<int>(it.holders.size()) >=
        std::min<int>(kHoldersPerRequest, static_cast<int>(peers_.size()))) {
      it.requests = kMaxRequests;
      continue;
    }
    Packer packer(kTicketsToAcknowledge);
    packer.Add(job, *ticket, now, 1);
    for (const int peer : RandomPeers(kHoldersPerRequest))
      if (!it.holders.contains(peer)) datagrams->push_back({peer, packer.bodies().front()});
  }
}

void Gossip::SendChecksums(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams) {
  next_compare_ = now + (fast_compares_ > 0 ? kFastCompare : kCompare);
  fast_compares_ = std::max(fast_compares_ - 1, 0);
  std::string body = Head(kChecksums);
  for (int group = 0; group < Table::kGroups; ++group) PutNumber(&body, table.GroupChecksum(group));
  for (const int peer : RandomPeers(1)) datagrams->push_back({peer, body});
}

}  // namespace lichenlug
