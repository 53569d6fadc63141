// The local state that the parts of the membership protocol share: process time, outgoing messages, and the
// direct observations of each other member.
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

// Process time: it doesn't advance while the process is paused and doesn't follow steps of the clock. All
// times within the membership protocol are in it; 0 is long ago.
//
// Without it, a process that resumes after a pause would find every other member silent for too long and
// suspect them all.
class OwnTime {
 public:
  static constexpr Time kPause = 500 * kMillisecond;  // a longer gap isn't caused by the event loop
  static constexpr Time kLate = 200 * kMillisecond;

  explicit OwnTime(Time outer) : outer_(outer) {}

  Time now() const { return own_; }
  Time ToOuter(Time own) const { return outer_ + (own - own_); }

  // Advances to clock time `outer`. True: the process was paused or the clock was stepped.
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

// Another member, as observed by this one.
struct Peer {
  Time heard = 0;                   // any datagram received from it
  Time answered = 0;                // it acknowledged a direct ping
  Time sign = 0;                    // of life: a datagram, an indirect acknowledgement or a refutation
  Time since = 0;                   // suspected or dead in this epoch; 0: neither
  bool failed = false;              // the last probe failed
  bool cut = false;                 // alive, but direct round trips fail
  int bad = 0, good = 0, cuts = 0;  // consecutive probes without and with an answer; times it was cut off
  int cleared = 0;                  // refuted suspicions, less one a minute
  Time cleared_at = 0;
  Time look_at = 0;     // due time of a ping that checks a received suspicion; 0: none
  Time recheck_at = 0;  // next probe while it is not a healthy member
  int refused = 0;      // consecutive refusals
};

struct Sending {
  int peer;
  std::string body;
};

// Queue of outgoing messages with a rate limit in bytes per second (token bucket).
class Outbox {
 public:
  static constexpr double kRate = 1800, kBurst = 4096;  // bytes a second; bytes
  // Bytes that must be left in the bucket for messages of higher priority.
  static constexpr double kForAnswers = 0, kForProbes = 300, kForHelp = 800, kForTables = 1000,
                          kForNews = 1400, kForGreetings = 2000;
  static constexpr Time kIntroduces = 5 * kSecond;  // after a start, each datagram carries the own fact

  Outbox(Table* table, int own, Time now) : table_(table), own_(own), started_(now) {}

  // Piggybacks pending facts where there is room. False: the rate limit is reached, nothing is sent.
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
  bool HasFor(double reserve) const { return level_ >= reserve; }  // as of the last message
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
  Time trusted_at = 0;     // until then no member is suspected
  Time stale_until = 0;    // datagrams read until then may have been queued while the process was paused
  Time round_trip_at = 0;  // the last ping to any member that was acknowledged
  Time told_deaf_at = 0;   // another member reported that it doesn't receive this one's datagrams

  Time now() const { return time.now(); }
  int tier() const { return table.tier(); }
  Time Below(Time most) { return static_cast<Time>(random() % static_cast<std::uint64_t>(most + 1)); }
  // Known, and neither left nor dead.
  bool Present(int member) const {
    const Fact& it = table.Of(member);
    return it.life != 0 && !it.left && !it.dead;
  }
};

}  // namespace lichenlug::membership
