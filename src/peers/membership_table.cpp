#include "peers/membership_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace lichenlug::membership {

Table::Table(int tier) : facts_(tier), links_(tier), times_sent_(2 * static_cast<std::size_t>(tier), 0) {}

// A change is disseminated only if there are more accusers or stronger ones, not if only the kept subset
// differs.
bool Table::Put(int member, const Fact& received, bool disseminate) {
  Fact& fact = facts_[member];
  const auto strength = [&fact] {
    int sum = 0;
    for (const Accuser& it : fact.accusers) sum += 1 + static_cast<int>(it.weight);
    return std::tuple(fact.Epoch(), fact.dead, sum);
  };
  const auto before = strength();
  if (!Merge(&fact, received)) return false;
  if (disseminate && strength() != before) Queue(member);
  return true;
}

bool Table::Put(int observer, const BadLinks& received) {
  if (!Merge(&links_[observer], received)) return false;
  QueueKey(tier() + observer);
  return true;
}

int Table::Transmissions() const {
  const int all = 2 + std::bit_width(static_cast<unsigned>(tier()));
  return pending_.size() > kManyPending ? kMinTransmissions : all;
}

void Table::Queue(int member) { QueueKey(member); }

void Table::QueueKey(int key) {
  pending_.erase({times_sent_[key], key});
  times_sent_[key] = 0;
  pending_.insert({0, key});
}

bool Table::Fill(Message* message) {
  std::size_t size = kMaxHeaderBytes;
  for (const auto& [number, fact] : message->facts) size += SizeOf(fact);
  std::vector<int> chosen;
  for (const auto& [times, key] : pending_) {
    const bool fact = key < tier();
    const std::size_t more = fact ? SizeOf(facts_[key]) : SizeOf(links_[key - tier()]);
    if (size + more > PeerProtocol::kMaxBody) break;
    size += more;
    chosen.push_back(key);
    if (!fact)
      message->links.emplace_back(static_cast<std::uint16_t>(key - tier()), links_[key - tier()]);
    else if (std::ranges::find(message->facts, key, [](const auto& it) { return it.first; }) ==
             message->facts.end())
      message->facts.emplace_back(static_cast<std::uint16_t>(key), facts_[key]);
  }
  const int transmissions = Transmissions();
  for (const int key : chosen) {
    pending_.erase({times_sent_[key], key});
    if (++times_sent_[key] < transmissions) pending_.insert({times_sent_[key], key});
  }
  return !chosen.empty();
}

std::uint32_t Table::HashOf(int slice) const {
  std::vector<std::uint64_t> datagrams;
  for (int i = slice * kSliceSize; i < std::min((slice + 1) * kSliceSize, tier()); ++i) {
    const Fact& it = facts_[i];
    datagrams.push_back(it.life);
    datagrams.push_back(std::uint64_t{it.incarnation} << 32 | it.round << 16 | it.zone << 8 | it.left << 1 |
                        static_cast<int>(it.dead));
  }
  return static_cast<std::uint32_t>(XXH3_64bits(datagrams.data(), datagrams.size() * sizeof(datagrams[0])));
}

void Table::FillSlice(int slice, Message* message) const {
  for (int i = slice * kSliceSize; i < std::min((slice + 1) * kSliceSize, tier()); ++i)
    if (facts_[i].life != 0) message->facts.emplace_back(static_cast<std::uint16_t>(i), facts_[i]);
}

}  // namespace lichenlug::membership
