// The links between parties: which faults lie on the way from one to another now.
#pragma once

#include <string>
#include <vector>

#include "lab/base/random.h"
#include "lab/fleet/fleet_file.h"
#include "lab/model/fair_share.h"

namespace lichenlug::lab {

class Links {
 public:
  Links(std::vector<FleetFault> faults, std::uint64_t seed) : faults_(std::move(faults)), random_(seed, 42) {}

  struct Way {
    bool cut = false, hole = false;
    Time delay = 0;
    double reset = 0, loss = 0, copies = 0;
    Time reorder = 0;
    bool Clear() const { return !cut && !hole && delay == 0 && reset == 0; }
  };

  Way At(Time now, const std::string& from, const std::string& to) const {
    Way way;
    for (const FleetFault& f : faults_) {
      const bool hits = Names(f.from, from) && Names(f.to, to), back = Names(f.from, to) && Names(f.to, from);
      if (!f.Active(now) || !OfLink(f.kind) || !(hits || (back && !f.one_way))) continue;
      const Time span = static_cast<Time>(f.size * kSecond);
      if (f.kind == FleetFaultKind::kCut) way.cut = true;
      if (f.kind == FleetFaultKind::kHole) way.hole = true;
      if (f.kind == FleetFaultKind::kDelay) way.delay += span;
      if (f.kind == FleetFaultKind::kReset) way.reset = std::max(way.reset, f.size);
      if (f.kind == FleetFaultKind::kLoss) way.loss = std::max(way.loss, f.size);
      if (f.kind == FleetFaultKind::kCopies) way.copies = std::max(way.copies, f.size);
      if (f.kind == FleetFaultKind::kReorder) way.reorder = std::max(way.reorder, span);
    }
    for (const Mute& m : mutes_)
      way.hole = way.hole || ((m.party == from || m.party == to) && now >= m.since && now < m.until);
    return way;
  }

  // Was the link clear both ways from `since` to `now`? What crossed a fault is not held against a dispatcher
  // where nobody outside can tell what it saw.
  bool ClearSince(Time since, Time now, const std::string& a, const std::string& b) const {
    for (const FleetFault& f : faults_) {
      if (!OfLink(f.kind) || f.kind >= FleetFaultKind::kLoss || f.at > now ||
          f.at + f.length + kAfter < since)
        continue;
      if ((Names(f.from, a) && Names(f.to, b)) || (Names(f.from, b) && Names(f.to, a))) return false;
    }
    for (const Mute& m : mutes_)
      if ((m.party == a || m.party == b) && m.since <= now && m.until + kAfter >= since) return false;
    return true;
  }

  void Set(std::vector<FleetFault> faults) { faults_ = std::move(faults); }

  // A party's machine has vanished: nothing gets to it or from it.
  void Vanish(const std::string& party, Time now) { mutes_.push_back({party, now, kNever}); }
  void Return(const std::string& party, Time now) {
    for (Mute& m : mutes_)
      if (m.party == party) m.until = std::min(m.until, now);
  }
  Random& random() { return random_; }

 private:
  struct Mute {
    std::string party;
    Time since = 0, until = 0;
  };
  static constexpr Time kAfter = 500 * kMillisecond;  // bytes that were held come, resets are noticed

  static bool Names(const std::string& pattern, const std::string& party) {
    return pattern == "*" || pattern == party ||
           (pattern.size() == 2 && pattern[1] == '*' && pattern[0] == party[0]);
  }

  std::vector<FleetFault> faults_;
  std::vector<Mute> mutes_;
  Random random_;
};

}  // namespace lichenlug::lab
