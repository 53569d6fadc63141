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
                        kFastCompare = 200 * kMillisecond;
  static constexpr int kPeersPerRound = 2, kMaxBodies = 2;
  static constexpr int kHoldersPerRequest = 8, kMaxRequests = 20;
  static constexpr std::size_t kMaxDirty = 4096, kMaxMissing = 256, kMaxPendingDecisions = 64,
                               kMaxAnswers = 32;
  static constexpr double kBroadcastBytesPerSecond = 4000, kMaxBroadcastBytes = 400000;

  struct ReceivedTicket {
    Fingerprint job;
    Ticket ticket;
    bool acknowledge = false;  // the sender requested an acknowledgement
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
  // Returns false if the message is malformed. The caller merges the returned tickets and calls Acknowledge
  // for each merged one with `acknowledge` set.
  bool HandleMessage(int peer, std::string_view body, const Table& table, Time now,
                     std::vector<ReceivedTicket>* tickets);
  void Acknowledge(int peer, const Fingerprint& job, const Decisions& received);

  static std::uint32_t DigestOfDecisions(const Decisions& decisions);

 private:
  struct PendingDecision {
    std::uint32_t decisions = 0;
    std::set<int> holders;
    int requests = 0;
    Time next = 0, since = 0;
  };

  int RoundsPerChange() const;
  std::vector<int> RandomPeers(int count);
  void SendUrgent(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams);
  void SendRound(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams);
  void SendMissing(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams);
  void SendToHolders(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams);
  void SendChecksums(const Table& table, Time now, std::vector<PeerProtocol::Datagram>* datagrams);
  bool HandleTickets(std::string_view body, bool acknowledge, Time now,
                     std::vector<ReceivedTicket>* tickets) const;
  void QueueAnswer(int peer, std::string body);
  void QueueLeaf(int peer, int leaf, const Table& table);
  bool HandleAcknowledgement(int peer, std::string_view body);
  bool HandleChecksums(int peer, std::string_view body, const Table& table);
  bool HandleGroup(int peer, std::string_view body, const Table& table);
  bool HandleLeafRequest(int peer, std::string_view body, const Table& table);

  pcg32 random_;
  int own_ = 0;
  std::vector<int> peers_;
  std::map<Fingerprint, int> dirty_;    // rounds left
  std::deque<Fingerprint> send_order_;  // jobs of dirty_
  std::deque<Fingerprint> urgent_;
  std::deque<std::pair<int, Fingerprint>> missing_;  // by the peer that lacks it
  std::map<Fingerprint, PendingDecision> pending_;
  std::vector<PeerProtocol::Datagram> answers_;
  Time next_round_ = 0, next_compare_ = 0, budget_at_ = 0;
  double budget_ = kMaxBroadcastBytes;
  int fast_compares_ = 50;  // fast comparisons left after a start
};

}  // namespace lichenlug
