// Finds models and adapters that are in demand and that no runner has held for some time.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "placement/held_set.h"

namespace lichenlug::placement {

class MissingWatch {
 public:
  struct Notice {
    Key key;
    Time missing_for = 0;
    bool held_now = false;  // a runner holds it again
  };

  // `missing`: what is in demand and held by no runner. `held`: whether a runner holds a key. Returns what
  // has now been missing for long, once, and which of that is held again.
  template <typename Held>
  std::vector<Notice> Update(Time now, const std::set<Key>& missing, Held held) {
    std::vector<Notice> notices = NewlyLong(now, missing);
    for (auto it = entries_.begin(); it != entries_.end();) {
      const auto& [key, entry] = *it;
      if (missing.contains(key)) {
        ++it;
        continue;
      }
      if (entry.reported && held(key)) notices.push_back({key, now - entry.since, /*held_now=*/true});
      it = entries_.erase(it);
    }
    return notices;
  }
  void Clear() { entries_.clear(); }

 private:
  struct Entry {
    Time since = 0;
    bool reported = false;
  };

  std::vector<Notice> NewlyLong(Time now, const std::set<Key>& missing);

  std::map<Key, Entry> entries_;
};

}  // namespace lichenlug::placement
