#include "duties/agreed_order.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace lichenlug::duties {
namespace {

// FNV-1a over both names, with the finalizer of SplitMix64.
std::uint64_t RankOf(const std::string& register_name, const std::string& name) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  const auto add = [&hash](char letter) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3u;
  };
  for (const char letter : register_name) add(letter);
  add('\0');
  for (const char letter : name) add(letter);
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9u;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebu;
  return hash ^ (hash >> 31);
}

}  // namespace

std::vector<Member> AgreedOrder(const std::string& register_name, const std::vector<Member>& live) {
  std::vector<Member> candidates = live;
  const auto has_no_store = [](const Member& member) { return member.replica_id.empty(); };
  if (!std::all_of(live.begin(), live.end(), has_no_store)) std::erase_if(candidates, has_no_store);
  const auto rank = [&](const Member& member) {
    return std::tuple(!member.ready, RankOf(register_name, member.name), member.name);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const Member& left, const Member& right) { return rank(left) < rank(right); });
  return candidates;
}

}  // namespace lichenlug::duties
