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
#include "peers/membership_codec.h"
#include "peers/membership_table.h"

namespace lichenlug::membership {

// Process time: it doesn't advance while the process is paused and doesn't follow steps of the clock. All
// times within the membership protocol are in it; 0 is long ago.
//
// Without it, a process that resumes after a pause would find every other member silent for too long and
// suspect them all.
class ProcessTime {
 public:
  static constexpr Time kPauseThreshold = 500 * kMillisecond;  // a longer gap isn't caused by the event loop
  static constexpr Time kLateThreshold = 200 * kMillisecond;

  explicit ProcessTime(Time clock) : clock_(clock) {}

  Time now() const { return process_time_; }
  Time ToClockTime(Time process_time) const { return clock_ + (process_time - process_time_); }

  // Advances to clock time `clock`. True: the process was paused or the clock was stepped.
  bool Advance(Time clock) {
    const Time gap = clock - std::exchange(clock_, clock);
    if (gap < 0 || gap > kPauseThreshold) return true;
    process_time_ += gap;
    if (gap > kLateThreshold) late_at_ = process_time_;
    return false;
  }
  bool LateWithin(Time span) const { return process_time_ - late_at_ < span; }

 private:
  Time clock_, process_time_ = 3600 * kSecond, late_at_ = 0;
};

// Another member, as observed by this one.
struct Peer {
  Time last_received = 0;     // any datagram received from it
  Time last_direct_ack = 0;   // it acknowledged a direct ping
  Time last_alive = 0;        // last sign of life: a datagram, an indirect acknowledgement or a refutation
  Time suspected_at = 0;      // suspected or dead in this epoch; 0: neither
  bool probe_failed = false;  // the last probe failed
  bool cut_off = false;       // alive, but direct round trips fail
  // Consecutive probes without and with a direct answer; how often it was cut off.
  int direct_failures = 0, direct_successes = 0, times_cut_off = 0;
  int refutations = 0;  // refuted suspicions, less one a minute
  Time refuted_at = 0;
  Time check_at = 0;    // due time of a ping that checks a received suspicion; 0: none
  Time recheck_at = 0;  // next probe while it is not a healthy member
  int refusals = 0;     // consecutive refusals
};

struct OutgoingMessage {
  int peer;
  std::string body;
};

// Queue of outgoing messages with a rate limit in bytes per second (token bucket).
class Outbox {
 public:
  static constexpr double kRate = 1800, kBurst = 4096;  // bytes a second; bytes
  // Bytes that must be left in the bucket for messages of higher priority.
  static constexpr double kReplyReserve = 0, kProbeReserve = 300, kIndirectProbeReserve = 800,
                          kTableReserve = 1000, kGossipReserve = 1400, kGreetingReserve = 2000;
  static constexpr Time kIntroductionTime = 5 * kSecond;  // after a start, each datagram carries the own fact

  Outbox(Table* table, int own, Time now) : table_(table), own_(own), started_(now) {}

  // Piggybacks pending facts where there is room. False: the rate limit is reached, nothing is sent.
  bool Send(int peer, Message message, double reserve, Time now) {
    tokens_ =
        std::min(kBurst, tokens_ + kRate * static_cast<double>(now - std::exchange(at_, now)) / kSecond);
    if (tokens_ - kMaxHeaderBytes < reserve) return false;
    if (now - started_ < kIntroductionTime && message.facts.empty())
      message.facts.emplace_back(static_cast<std::uint16_t>(own_), table_->FactOf(own_));
    if (tokens_ >= kGossipReserve) table_->Fill(&message);
    std::string body = EncodeMessage(message);
    tokens_ -= static_cast<double>(body.size());
    sent_.push_back({peer, std::move(body)});
    return true;
  }
  bool HasBudget(double reserve) const { return tokens_ >= reserve; }  // as of the last message
  bool empty() const { return sent_.empty(); }
  std::vector<OutgoingMessage> TakeMessages() { return std::exchange(sent_, {}); }

 private:
  Table* table_;
  const int own_;
  const Time started_;
  double tokens_ = kBurst;
  Time at_ = 0;
  std::vector<OutgoingMessage> sent_;
};

struct LocalState {
  LocalState(int own, int tier, int own_zone, std::uint64_t seed, Time clock)
      : number(own),
        zone(own_zone < 0 || own_zone >= kAnyZone ? kAnyZone : static_cast<std::uint8_t>(own_zone)),
        time(clock),
        table(tier),
        peers(tier),
        out(&table, own, time.now()),
        random(seed) {}

  const int number;
  const std::uint8_t zone;
  ProcessTime time;
  Table table;
  std::vector<Peer> peers;
  Outbox out;
  std::mt19937_64 random;
  Time trust_after = 0;    // until then no member is suspected
  Time stale_until = 0;    // datagrams read until then may have been queued while the process was paused
  Time round_trip_at = 0;  // the last ping to any member that was acknowledged
  Time reported_unheard_at = 0;  // another member reported that it doesn't receive this one's datagrams

  Time now() const { return time.now(); }
  int tier() const { return table.tier(); }
  Time RandomUpTo(Time max) { return static_cast<Time>(random() % static_cast<std::uint64_t>(max + 1)); }
  // Known, and neither left nor dead.
  bool IsPresent(int member) const {
    const Fact& it = table.FactOf(member);
    return it.life != 0 && !it.left && !it.dead;
  }
};

}  // namespace lichenlug::membership
