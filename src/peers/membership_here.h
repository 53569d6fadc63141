// What the parts of the membership of one dispatcher work on together: its own time, its sendings, and what
// it has itself seen of each other member.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/tier.h"
#include "peers/membership_table.h"
#include "peers/membership_words.h"

namespace lichenlug::membership {

// Time as this process lived it: it stands still while the process is paused and does not follow a clock that
// is set. All times in the parts of the membership are in it; 0 is long ago.
//
// Guards against a sleeper that wakes up and finds everybody silent for too long.
class OwnTime {
 public:
  static constexpr Time kPause = 500 * kMillisecond;  // a longer gap is none of the loop's making
  static constexpr Time kLate = 200 * kMillisecond;

  explicit OwnTime(Time outer) : outer_(outer) {}

  Time now() const { return own_; }
  Time ToOuter(Time own) const { return outer_ + (own - own_); }

  // True: this process was paused or its clock was set.
  bool Pass(Time outer) {
    const Time gap = outer - std::exchange(outer_, outer);
    if (gap < 0 || gap > kPause) return true;
    own_ += gap;
    if (gap > kLate) late_at_ = own_;
    return false;
  }
  bool LateWithin(Time span) const { return own_ - late_at_ < span; }

 private:
  Time outer_, own_ = 3600 * kSecond, late_at_ = 0;
};

// One other member, as seen by this one alone.
struct Peer {
  Time heard = 0;                   // any datagram of its own
  Time answered = 0;                // a ping of this one went there and back
  Time sign = 0;                    // of life: heard, heard by another, or it has objected
  Time since = 0;                   // accused or dead in this epoch; 0: neither
  bool failed = false;              // the last series of probes was in vain
  bool cut = false;                 // alive, but nothing goes there and back
  int bad = 0, good = 0, cuts = 0;  // series in a row without and with an answer; times it was cut
  int cleared = 0;                  // times it was accused and is alive, less one a minute
  Time cleared_at = 0;
  Time look_at = 0;     // one ping of its own before others' word is believed; 0: none
  Time recheck_at = 0;  // while it does not count
  int refused = 0;      // in a row
};

struct Sending {
  int peer;
  std::string body;
};

// What is sent, within a number of bytes a second.
class Outbox {
 public:
  static constexpr double kRate = 1800, kBurst = 4096;  // bytes a second; bytes
  // What is left over for more needful things.
  static constexpr double kForAnswers = 0, kForProbes = 300, kForHelp = 800, kForTables = 1000,
                          kForNews = 1400, kForGreetings = 2000;
  static constexpr Time kIntroduces = 5 * kSecond;  // a new life is named in each of its datagrams

  Outbox(Table* table, int own, Time now) : table_(table), own_(own), started_(now) {}

  // News ride along where there is room for them. False: there are no bytes left for it.
  bool Send(int peer, Message message, double reserve, Time now) {
    level_ = std::min(kBurst, level_ + kRate * static_cast<double>(now - std::exchange(at_, now)) / kSecond);
    if (level_ - kMaxHead < reserve) return false;
    if (now - started_ < kIntroduces && message.facts.empty())
      message.facts.emplace_back(static_cast<std::uint16_t>(own_), table_->Of(own_));
    if (level_ >= kForNews) table_->Fill(&message);
    std::string body = Write(message);
    level_ -= static_cast<double>(body.size());
    sent_.push_back({peer, std::move(body)});
    return true;
  }
  bool HasFor(double reserve) const { return level_ >= reserve; }  // as of the last sending
  bool empty() const { return sent_.empty(); }
  std::vector<Sending> Take() { return std::exchange(sent_, {}); }

 private:
  Table* table_;
  const int own_;
  const Time started_;
  double level_ = kBurst;
  Time at_ = 0;
  std::vector<Sending> sent_;
};

struct Here {
  Here(int own, int tier, int own_zone, std::uint64_t seed, Time outer)
      : number(own),
        zone(own_zone < 0 || own_zone >= kAnyZone ? kAnyZone : static_cast<std::uint8_t>(own_zone)),
        time(outer),
        table(tier),
        peers(tier),
        out(&table, own, time.now()),
        random(seed) {}

  const int number;
  const std::uint8_t zone;
  OwnTime time;
  Table table;
  std::vector<Peer> peers;
  Outbox out;
  std::mt19937_64 random;
  Time trusted_at = 0;     // until then nobody is accused
  Time stale_until = 0;    // what comes until then may have waited while this one slept
  Time round_trip_at = 0;  // the last ping that came back from anywhere
  Time told_deaf_at = 0;   // another said that it does not hear this one

  Time now() const { return time.now(); }
  int tier() const { return table.tier(); }
  Time Below(Time most) { return static_cast<Time>(random() % static_cast<std::uint64_t>(most + 1)); }
  // It takes part: known, neither left nor dead.
  bool Present(int member) const {
    const Fact& it = table.Of(member);
    return it.life != 0 && !it.left && !it.dead;
  }
};

}  // namespace lichenlug::membership
