// What each fingerprint (class and object key) did to the boxes: how many it felled, and how many of its
// attempts boxes held at once. It judges nothing: it counts what the whole tier let happen.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "lab/fleet/fleet_file.h"

namespace lichenlug::lab {

class Harm {
 public:
  struct Of {
    int cls = 0;
    std::uint64_t key = 0, tries = 0, attempts = 0;  // tries: of clients, each with an id of its own
    int killed = 0, hung = 0, under_way = 0, most_under_way = 0;
  };

  void Tried(int cls, std::uint64_t key) { ++At(cls, key).tries; }
  void Begun(int cls, std::uint64_t key) {
    Of& of = At(cls, key);
    ++of.attempts;
    of.most_under_way = std::max(of.most_under_way, ++of.under_way);
  }
  void Over(int cls, std::uint64_t key) { --At(cls, key).under_way; }
  void Felled(int cls, std::uint64_t key, bool hangs) { ++(hangs ? At(cls, key).hung : At(cls, key).killed); }

  // Of those fingerprints that the file poisons and a client has sent.
  std::vector<Of> OfPoison(const FleetFile& fleet) const {
    std::vector<Of> all;
    for (const auto& [print, of] : prints_)
      if (std::ranges::any_of(fleet.poison, [&of](const Poison& p) { return p.Hits(of.cls, of.key); }))
        all.push_back(of);
    return all;
  }

 private:
  Of& At(int cls, std::uint64_t key) {
    Of& of = prints_[{cls, key}];
    of.cls = cls, of.key = key;
    return of;
  }
  std::map<std::pair<int, std::uint64_t>, Of> prints_;
};

}  // namespace lichenlug::lab
