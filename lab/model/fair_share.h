// Work that shares a rate: every entry gets on at the same pace, and ends when its amount is done. Boxes run
// their jobs on one, the store serves its fetches on another.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

#include "lab/model/site.h"

namespace lichenlug::lab {

inline constexpr Time kNever = std::numeric_limits<Time>::max();

class FairShare {
 public:
  std::size_t size() const { return entries_.size(); }

  // Amounts are microseconds at rate 1. `rate` holds for each entry until it is set again.
  void SetRate(Time now, double rate) { Advance(now), rate_ = rate; }
  void Add(Time now, double amount, std::uint64_t id) {
    Advance(now);
    const std::pair entry{done_ + amount, id};
    entries_.insert(std::ranges::upper_bound(entries_, entry, std::greater<>()), entry);
  }

  // What is left of an entry that is taken out; below 0: it is not there.
  double Remove(Time now, std::uint64_t id) {
    Advance(now);
    const auto at = std::ranges::find(entries_, id, &std::pair<double, std::uint64_t>::second);
    if (at == entries_.end()) return -1;
    const double left = std::max(0.0, at->first - done_);
    entries_.erase(at);
    return left;
  }

  void SetBack(Time now, double amount) { Advance(now), done_ -= amount; }  // everyone loses so much

  Time NextEnd() const {
    if (entries_.empty() || rate_ <= 0) return kNever;
    const double span = std::max(0.0, (entries_.back().first - done_) / rate_);
    return at_ + static_cast<Time>(std::ceil(std::min(span, 1e15)));
  }

  // Takes out one entry that has ended by now, with the least left first; false: there is none.
  bool TakeEnded(Time now, std::uint64_t* id) {
    Advance(now);
    if (entries_.empty() || entries_.back().first - done_ > rate_) return false;  // within a microsecond
    *id = entries_.back().second;
    entries_.pop_back();
    return true;
  }

  template <typename Call>
  void ForEach(Call call) const {
    for (const auto& [end, id] : entries_) call(id, std::max(0.0, end - done_));
  }

  void Clear() { entries_.clear(); }

 private:
  void Advance(Time now) {
    if (now <= at_) return;
    done_ += rate_ * static_cast<double>(now - at_);
    at_ = now;
  }

  std::vector<std::pair<double, std::uint64_t>> entries_;  // the next to end last
  double done_ = 0, rate_ = 0;
  Time at_ = 0;
};

}  // namespace lichenlug::lab
