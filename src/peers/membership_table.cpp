#include "peers/membership_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace lichenlug::membership {

Table::Table(int tier) : facts_(tier), links_(tier), told_(2 * static_cast<std::size_t>(tier), 0) {}

// A change is disseminated only if there are more accusers or stronger ones, not if only the kept subset
// differs.
bool Table::Put(int member, const Fact& told, bool news) {
  Fact& fact = facts_[member];
  const auto gravity = [&fact] {
    int sum = 0;
    for (const Accuser& it : fact.accusers) sum += 1 + static_cast<int>(it.weight);
    return std::tuple(fact.Epoch(), fact.dead, sum);
  };
  const auto before = gravity();
  if (!Merge(&fact, told)) return false;
  if (news && gravity() != before) Queue(member);
  return true;
}

bool Table::Put(int observer, const BadLinks& told) {
  if (!Merge(&links_[observer], told)) return false;
  QueueKey(tier() + observer);
  return true;
}

int Table::Tellings() const {
  const int all = 2 + std::bit_width(static_cast<unsigned>(tier()));
  return pending_.size() > kMany ? kMinTellings : all;
}

void Table::Queue(int member) { QueueKey(member); }

void Table::QueueKey(int key) {
  pending_.erase({told_[key], key});
  told_[key] = 0;
  pending_.insert({0, key});
}

bool Table::Fill(Message* message) {
  std::size_t size = kMaxHead;
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
  const int tellings = Tellings();
  for (const int key : chosen) {
    pending_.erase({told_[key], key});
    if (++told_[key] < tellings) pending_.insert({told_[key], key});
  }
  return !chosen.empty();
}

std::uint32_t Table::HashOf(int slice) const {
  std::vector<std::uint64_t> words;
  for (int i = slice * kSlice; i < std::min((slice + 1) * kSlice, tier()); ++i) {
    const Fact& it = facts_[i];
    words.push_back(it.life);
    words.push_back(std::uint64_t{it.incarnation} << 32 | it.round << 16 | it.zone << 8 | it.left << 1 |
                    static_cast<int>(it.dead));
  }
  return static_cast<std::uint32_t>(XXH3_64bits(words.data(), words.size() * sizeof(words[0])));
}

void Table::FillSlice(int slice, Message* message) const {
  for (int i = slice * kSlice; i < std::min((slice + 1) * kSlice, tier()); ++i)
    if (facts_[i].life != 0) message->facts.emplace_back(static_cast<std::uint16_t>(i), facts_[i]);
}

}  // namespace lichenlug::membership
