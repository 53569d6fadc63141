// The receiving half of gossip.h: tickets, acknowledgements and checksum comparison.
#include <algorithm>

#include "quarantine/codec.h"
#include "quarantine/gossip.h"
#include "quarantine/gossip_messages.h"

namespace lichenlug {

using namespace gossip_messages;

namespace {

constexpr int kMaxGroupsAnswered = 2, kMaxLeavesRequested = 8;

}  // namespace

void Gossip::QueueAnswer(int peer, std::string body) {
  if (answers_.size() < kMaxAnswers) answers_.push_back({peer, std::move(body)});
}

void Gossip::Acknowledge(int peer, const Fingerprint& job, const Decisions& received) {
  std::string body = Head(kAcknowledgement);
  PutNumber(&body, job.high), PutNumber(&body, job.low);
  PutNumber(&body, DigestOfDecisions(received));
  QueueAnswer(peer, std::move(body));
}

bool Gossip::HandleMessage(int peer, std::string_view body, const Table& table, Time now,
                           std::vector<ReceivedTicket>* tickets) {
  if (body.empty() || body.size() > PeerProtocol::kMaxBody + 1) return false;
  const auto head = static_cast<std::uint8_t>(body[0]);
  if (head >> 4 != kFormat) return false;
  body.remove_prefix(1);
  switch (head & 0xf) {
    case kTickets:
      return HandleTickets(body, false, now, tickets);
    case kTicketsToAcknowledge:
      return HandleTickets(body, true, now, tickets);
    case kAcknowledgement:
      return HandleAcknowledgement(peer, body);
    case kChecksums:
      return HandleChecksums(peer, body, table);
    case kGroup:
      return HandleGroup(peer, body, table);
    case kLeafRequest:
      return HandleLeafRequest(peer, body, table);
    default:
      return false;
  }
}

bool Gossip::HandleTickets(std::string_view body, bool acknowledge, Time now,
                           std::vector<ReceivedTicket>* tickets) const {
  ByteReader in(body);
  while (in.left() > 0) {
    const auto size = in.Number<std::uint8_t>();
    if (size == 0 && in.left() == 0) break;  // the optional trailing zero byte of a body
    const auto record = Decode(in.Text(size), now);
    if (!in.good() || !record) {
      tickets->clear();
      return false;
    }
    tickets->push_back({record->first, record->second, acknowledge});
  }
  return !tickets->empty();
}

bool Gossip::HandleAcknowledgement(int peer, std::string_view body) {
  ByteReader in(body);
  Fingerprint job;
  job.high = in.Number<std::uint64_t>(), job.low = in.Number<std::uint64_t>();
  const auto decisions = in.Number<std::uint32_t>();
  if (!in.good() || in.left() > 1) return false;
  const auto it = pending_.find(job);
  if (it != pending_.end() && it->second.decisions == decisions &&
      std::ranges::find(peers_, peer) != peers_.end())
    it->second.holders.insert(peer);
  return true;
}

bool Gossip::HandleChecksums(int peer, std::string_view body, const Table& table) {
  if (body.size() < 4 * Table::kGroups || body.size() > 4 * Table::kGroups + 1) return false;
  ByteReader in(body);
  std::vector<int> differing;
  for (int group = 0; group < Table::kGroups; ++group)
    if (in.Number<std::uint32_t>() != table.GroupChecksum(group)) differing.push_back(group);
  if (differing.empty()) fast_compares_ = 0;
  const auto first = differing.empty() ? 0 : random_(static_cast<std::uint32_t>(differing.size()));
  for (std::size_t i = 0; i < std::min<std::size_t>(differing.size(), kMaxGroupsAnswered); ++i) {
    const int group = differing[(first + i) % differing.size()];
    std::string answer = Head(kGroup);
    PutNumber(&answer, static_cast<std::uint8_t>(group));
    for (int leaf = 0; leaf < Table::kLeavesOfGroup; ++leaf)
      PutNumber(&answer, table.LeafChecksum(group * Table::kLeavesOfGroup + leaf));
    QueueAnswer(peer, std::move(answer));
  }
  return true;
}

bool Gossip::HandleGroup(int peer, std::string_view body, const Table& table) {
  if (body.size() < 1 + 4 * Table::kLeavesOfGroup || body.size() > 2 + 4 * Table::kLeavesOfGroup)
    return false;
  ByteReader in(body);
  const int group = in.Number<std::uint8_t>();
  if (group >= Table::kGroups) return false;
  std::string requested_leaves;
  int count = 0;
  for (int i = 0; i < Table::kLeavesOfGroup; ++i) {
    const int leaf = group * Table::kLeavesOfGroup + i;
    const auto sum = in.Number<std::uint32_t>();
    if (sum == table.LeafChecksum(leaf) || count >= kMaxLeavesRequested) continue;
    QueueLeaf(peer, leaf, table);
    PutNumber(&requested_leaves, static_cast<std::uint16_t>(leaf));
    ++count;
  }
  if (count == 0) return true;
  std::string answer = Head(kLeafRequest);
  PutNumber(&answer, static_cast<std::uint8_t>(count));
  QueueAnswer(peer, answer + requested_leaves);
  return true;
}

bool Gossip::HandleLeafRequest(int peer, std::string_view body, const Table& table) {
  ByteReader in(body);
  const int count = in.Number<std::uint8_t>();
  if (count == 0 || count > kMaxLeavesRequested || in.left() < 2u * static_cast<unsigned>(count))
    return false;
  std::vector<int> leaves;
  for (int i = 0; i < count; ++i) leaves.push_back(in.Number<std::uint16_t>());
  if (in.left() > 1) return false;
  for (const int leaf : leaves)
    if (leaf >= Table::kGroups * Table::kLeavesOfGroup) return false;
  for (const int leaf : leaves) QueueLeaf(peer, leaf, table);
  return true;
}

void Gossip::QueueLeaf(int peer, int leaf, const Table& table) {
  for (auto it = table.all().lower_bound(Table::FirstOf(leaf));
       it != table.all().end() && Table::LeafOf(it->first) == leaf && missing_.size() < kMaxMissing; ++it)
    missing_.emplace_back(peer, it->first);
}

}  // namespace lichenlug
