// How tickets get about: what is urgent goes to all at once, each change is told a few at random about
// log2(members) times, and slowly, all the time, two dispatchers compare sums and send each other what one of
// them lacks. (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987.)
//
// Guards against floods: words to all come out of a budget of bytes (without it the rounds carry them), a
// round has at most kMaxBodies bodies a peer, and what peers lack waits in a bounded queue. Guards against
// losses: what got lost is told again in other rounds, and sums find the rest. Idle: one body in kCompare.
//
// Bodies: a head byte (format << 4 | what), then
//   1, 2 tickets: {length, record}...; 2 wants to know that they have arrived
//   3 arrived: count, {fingerprint's low half, digest of its decisions}...
//   4 sums of all groups   5 group, sums of its leaves   6 count, leaves that the sender asks for
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
    bool wanted = false;  // its sender counts who has it
  };

  explicit Gossip(std::uint64_t seed) : random_(seed) {}

  void SetMembers(int own, const std::vector<int>& counted);
  // `urgent`: to all at once, where the budget has it.
  void Changed(const Fingerprint& job, bool urgent);
  // From now on those that have this ticket's decisions are counted.
  void CountHolders(const Fingerprint& job, const Ticket& ticket, Time now);
  int Holders(const Fingerprint& job, const Ticket& ticket) const;  // with this one

  Time DueAt(Time now) const;
  std::vector<PeerProtocol::Datagram> MakeDatagrams(const Table& table, Time now);
  // False: malformed. Tickets are handed out to be merged; Arrived is to be called for those wanted that
  // were.
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
  std::deque<Fingerprint> turns_;     // of those in dirty_
  std::deque<Fingerprint> urgent_;
  std::deque<std::pair<int, Fingerprint>> lacking_;  // by whom
  std::map<Fingerprint, Waiting> waiting_;
  std::vector<PeerProtocol::Datagram> answers_;
  Time next_round_ = 0, next_compare_ = 0, budget_at_ = 0;
  double budget_ = kToAllBytesAtMost;
  int fresh_compares_ = 50;  // after the start, until much has been heard
};

}  // namespace lichenlug
