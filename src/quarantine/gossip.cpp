#include "quarantine/gossip.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>

#include "quarantine/codec.h"
#include "quarantine/gossip_words.h"

namespace lichenlug {

using namespace gossip_words;

namespace {

// Packs tickets into as few bodies as possible.
class Packer {
 public:
  explicit Packer(What what) : what_(what) {}
  // Returns false if the ticket would need more than `most` bodies.
  bool Add(const Fingerprint& job, const Ticket& ticket, Time now, int most) {
    const std::string record = Encode(job, ticket, now);
    if (bodies_.empty() || bodies_.back().size() + 1 + record.size() > PeerProtocol::kMaxBody) {
      if (static_cast<int>(bodies_.size()) >= most) return false;
      bodies_.push_back(Head(what_));
    }
    PutNumber(&bodies_.back(), static_cast<std::uint8_t>(record.size()));
    bodies_.back() += record;
    return true;
  }
  const std::vector<std::string>& bodies() const { return bodies_; }

 private:
  What what_;
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

int Gossip::Retold() const { return 1 + std::bit_width(peers_.size() + 1); }

void Gossip::Changed(const Fingerprint& job, bool urgent) {
  if (peers_.empty()) return;  // checksum comparison finds it once there are peers
  if (const auto it = dirty_.find(job); it != dirty_.end()) {
    it->second = Retold();
  } else if (dirty_.size() < kMaxDirty) {
    dirty_[job] = Retold();
    turns_.push_back(job);
  }
  if (urgent && urgent_.size() < kMaxWaiting && std::ranges::find(urgent_, job) == urgent_.end())
    urgent_.push_back(job);
}

void Gossip::CountHolders(const Fingerprint& job, const Ticket& ticket, Time now) {
  const std::uint32_t digest = DigestOfDecisions(ticket.decisions);
  if (const auto it = waiting_.find(job); it != waiting_.end() && it->second.decisions == digest) {
    it->second.asks = 0;
    return;
  }
  if (waiting_.size() >= kMaxWaiting && !waiting_.contains(job))
    waiting_.erase(std::ranges::min_element(waiting_, {}, [](const auto& it) { return it.second.since; }));
  waiting_[job] = {.decisions = digest, .holders = {}, .next = now, .since = now};
}

int Gossip::Holders(const Fingerprint& job, const Ticket& ticket) const {
  const auto it = waiting_.find(job);
  if (it == waiting_.end() || it->second.decisions != DigestOfDecisions(ticket.decisions)) return 1;
  return 1 + static_cast<int>(it->second.holders.size());
}

Time Gossip::DueAt(Time now) const {
  if (peers_.empty()) return 0;
  if (!urgent_.empty() || !answers_.empty()) return now;
  Time due = next_compare_;
  if (!dirty_.empty() || !lacking_.empty()) due = std::min(due, next_round_);
  for (const auto& [job, it] : waiting_)
    if (it.asks < kMaxAsks) due = std::min(due, it.next);
  return std::max<Time>(due, 1);
}

std::vector<int> Gossip::Draw(int count) {
  std::vector<int> drawn;
  const int most = std::min<int>(count, static_cast<int>(peers_.size()));
  while (static_cast<int>(drawn.size()) < most) {
    const int peer = peers_[random_(static_cast<std::uint32_t>(peers_.size()))];
    if (std::ranges::find(drawn, peer) == drawn.end()) drawn.push_back(peer);
  }
  return drawn;
}

std::vector<PeerProtocol::Datagram> Gossip::MakeDatagrams(const Table& table, Time now) {
  std::vector<PeerProtocol::Datagram> words = std::move(answers_);
  answers_.clear();
  if (peers_.empty()) return words;
  TellToAll(table, now, &words);
  if (now >= next_round_ && (!dirty_.empty() || !lacking_.empty())) {
    next_round_ = now + kRound;
    TellRound(table, now, &words);
    TellLacking(table, now, &words);
  }
  AskHolders(table, now, &words);
  if (now >= next_compare_) Compare(table, now, &words);
  return words;
}

void Gossip::TellToAll(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words) {
  if (budget_at_ != 0)
    budget_ = std::min(kToAllBytesAtMost,
                       budget_ + kToAllBytesASecond * static_cast<double>(now - budget_at_) / kSecond);
  budget_at_ = now;
  Packer packer(kTickets);
  for (const Fingerprint& job : urgent_)
    if (const Ticket* ticket = table.Find(job)) packer.Add(job, *ticket, now, kMaxBodies);
  urgent_.clear();
  for (const std::string& body : packer.bodies()) {
    const double cost = static_cast<double>(body.size() * peers_.size());
    if (cost > budget_) break;
    budget_ -= cost;
    words->push_back({PeerProtocol::kAll, body});
  }
}

void Gossip::TellRound(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words) {
  Packer packer(kTickets);
  for (std::size_t turns = turns_.size(); turns > 0; --turns) {
    const Fingerprint job = turns_.front();
    const Ticket* ticket = table.Find(job);
    if (ticket != nullptr && !packer.Add(job, *ticket, now, kMaxBodies)) break;
    turns_.pop_front();
    const auto it = dirty_.find(job);
    if (ticket == nullptr || --it->second <= 0)
      dirty_.erase(it);
    else
      turns_.push_back(job);
  }
  for (const int peer : Draw(kPeersARound))
    for (const std::string& body : packer.bodies()) words->push_back({peer, body});
}

void Gossip::TellLacking(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words) {
  if (lacking_.empty()) return;
  const int peer = lacking_.front().first;
  Packer packer(kTickets);
  while (!lacking_.empty() && lacking_.front().first == peer) {
    const Ticket* ticket = table.Find(lacking_.front().second);
    if (ticket != nullptr && !packer.Add(lacking_.front().second, *ticket, now, kMaxBodies)) break;
    lacking_.pop_front();
  }
  for (const std::string& body : packer.bodies()) words->push_back({peer, body});
}

void Gossip::AskHolders(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words) {
  for (auto& [job, it] : waiting_) {
    if (it.asks >= kMaxAsks || now < it.next) continue;
    const Ticket* ticket = table.Find(job);
    it.next = now + 2 * kRound, it.asks += 1;
    if (ticket == nullptr || DigestOfDecisions(ticket->decisions) != it.decisions) {
      it.asks = kMaxAsks;
      continue;
    }
    if (static_cast<int>(it.holders.size()) >= std::min<int>(kAskedAtOnce, static_cast<int>(peers_.size()))) {
      it.asks = kMaxAsks;
      continue;
    }
    Packer packer(kTicketsWanted);
    packer.Add(job, *ticket, now, 1);
    for (const int peer : Draw(kAskedAtOnce))
      if (!it.holders.contains(peer)) words->push_back({peer, packer.bodies().front()});
  }
}

void Gossip::Compare(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words) {
  next_compare_ = now + (fresh_compares_ > 0 ? kCompareFresh : kCompare);
  fresh_compares_ = std::max(fresh_compares_ - 1, 0);
  std::string body = Head(kSums);
  for (int group = 0; group < Table::kGroups; ++group) PutNumber(&body, table.GroupSum(group));
  for (const int peer : Draw(1)) words->push_back({peer, body});
}

}  // namespace lichenlug
