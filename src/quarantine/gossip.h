// Dissemination of tickets. Urgent changes are broadcast; each change is sent to a few random peers for about
// log2(members) rounds; and, as a continuous anti-entropy process, two dispatchers compare checksums and send
// each other the missing tickets. (Demers et al., "Epidemic algorithms for replicated database maintenance",
// PODC 1987.)
//
// Load is bounded: broadcasts are limited by a byte budget (beyond it the rounds deliver the change), a round
// has at most kMaxBodies bodies per peer, and tickets missing at peers wait in a bounded queue. Losses are
// repaired by later rounds and by checksum comparison. An idle dispatcher sends one body per kCompare.
//
// Bodies: a head byte (format << 4 | type), then
//   1, 2 tickets: {length, record}...; type 2 requests an acknowledgement
//   3 acknowledgement: {fingerprint, digest of its decisions}
//   4 checksums of all groups   5 group, checksums of its leaves   6 count, leaves that the sender requests
#pragma once

#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/tier.h"
#include "quarantine/table.h"

namespace lichenlug {

class Gossip {
 public:
  static constexpr Time kRound = 100 * kMillisecond, kCompare = 2 * kSecond,
                        kCompareFresh = 200 * kMillisecond;
  static constexpr int kPeersARound = 2, kMaxBodies = 2;
  static constexpr int kAskedAtOnce = 8, kMaxAsks = 20;
  static constexpr std::size_t kMaxDirty = 4096, kMaxLacking = 256, kMaxWaiting = 64, kMaxAnswers = 32;
  static constexpr double kToAllBytesASecond = 4000, kToAllBytesAtMost = 400000;

  struct Heard {
    Fingerprint job;
    Ticket ticket;
    bool wanted = false;  // the sender requested an acknowledgement
  };

  explicit Gossip(std::uint64_t seed) : random_(seed) {}

  void SetMembers(int own, const std::vector<int>& counted);
  // `urgent`: broadcast it, if the budget permits.
  void Changed(const Fingerprint& job, bool urgent);
  // Starts counting the members that have this ticket's decisions.
  void CountHolders(const Fingerprint& job, const Ticket& ticket, Time now);
  int Holders(const Fingerprint& job, const Ticket& ticket) const;  // including this dispatcher

  Time DueAt(Time now) const;
  std::vector<PeerProtocol::Datagram> MakeDatagrams(const Table& table, Time now);
  // Returns false if the message is malformed. The caller merges the returned tickets and calls Arrived for
  // each merged one that is `wanted`.
  bool HandleMessage(int peer, std::string_view body, const Table& table, Time now,
                     std::vector<Heard>* tickets);
  void Arrived(int peer, const Fingerprint& job, const Decisions& heard);

  static std::uint32_t DigestOfDecisions(const Decisions& decisions);

 private:
  struct Waiting {
    std::uint32_t decisions = 0;
    std::set<int> holders;
    int asks = 0;
    Time next = 0, since = 0;
  };

  int Retold() const;
  std::vector<int> Draw(int count);
  void TellToAll(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words);
  void TellRound(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words);
  void TellLacking(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words);
  void AskHolders(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words);
  void Compare(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* words);
  bool HearTickets(std::string_view body, bool wanted, Time now, std::vector<Heard>* tickets) const;
  void Answer(int peer, std::string body);
  void Send(int peer, int leaf, const Table& table);
  bool HearArrived(int peer, std::string_view body);
  bool HearSums(int peer, std::string_view body, const Table& table);
  bool HearGroup(int peer, std::string_view body, const Table& table);
  bool HearAsked(int peer, std::string_view body, const Table& table);

  pcg32 random_;
  int own_ = 0;
  std::vector<int> peers_;
  std::map<Fingerprint, int> dirty_;  // rounds left
  std::deque<Fingerprint> turns_;     // send order of dirty_
  std::deque<Fingerprint> urgent_;
  std::deque<std::pair<int, Fingerprint>> lacking_;  // by the peer that lacks it
  std::map<Fingerprint, Waiting> waiting_;
  std::vector<PeerProtocol::Datagram> answers_;
  Time next_round_ = 0, next_compare_ = 0, budget_at_ = 0;
  double budget_ = kToAllBytesAtMost;
  int fresh_compares_ = 50;  // fast comparisons left after a start
};

}  // namespace lichenlug
