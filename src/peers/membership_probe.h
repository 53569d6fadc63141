// Direct and indirect probes of members, and their timeouts.
//
// A lost datagram must not count as a failure: after an unanswered ping, the member is probed again, directly
// and through members of different zones, with more rounds when this member has reason to doubt its own
// health (after A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection", 2018). A member whose datagrams arrive anyway isn't probed.
#pragma once

#include <map>
#include <vector>

#include "peers/membership_local_state.h"

namespace lichenlug::membership {

class Prober {
 public:
  static constexpr Time kProbeInterval = 100 * kMillisecond;      // between starts of probes
  static constexpr Time kReceivedFreshness = 250 * kMillisecond;  // a datagram within it: no probe is needed
  static constexpr Time kAckFreshness = 500 * kMillisecond;       // if it also answered within this
  static constexpr Time kMinDirectTimeout = 60 * kMillisecond, kMaxDirectTimeout = 100 * kMillisecond;
  static constexpr Time kIndirectTimeout = 120 * kMillisecond;  // four hops of up to 22 ms each
  static constexpr int kRelays = 3, kMinRounds = 2, kMaxRounds = 8;
  static constexpr std::size_t kMaxConcurrentProbes = 16;
  static constexpr int kFailuresToCutOff = 3, kAnswersToReconnect = 3;  // consecutive probes

  explicit Prober(LocalState* local)
      : local_(local), next_slice_(static_cast<int>(local->RandomUpTo(local->table.slices() - 1))) {}

  void StartProbe(int member);
  void HandleAck(int member, std::uint16_t nonce, bool direct);
  void Clear() { probes_.clear(); }  // drops the probes begun before a pause

  // Advances all probes; returns the members whose probe failed.
  std::vector<int> Step();
  Time DueAt() const;
  // Sends one ping outside any probe. False: the rate limit is reached.
  bool Ping(int member, double reserve);
  // Pings a member that is not a healthy one, with the facts of that member and of this one.
  void PingWithFacts(int member);

  // The share of members whose last probe failed.
  double FailedShare() const;
  int Rounds() const;

 private:
  struct Probe {
    std::uint16_t nonce = 0;
    int round = 0;
    Time started_at = 0, due = 0;
    bool first_answered = false;
  };

  void StartNextProbe();
  Slice NextSlice();
  bool SendNextRound(int member, Probe* probe);
  void RecordResult(int member, const Probe& probe, bool alive);
  std::vector<int> SelectRelays(int member);
  Time DirectTimeout() const;

  LocalState* local_;
  std::vector<int> probe_order_;
  std::size_t at_ = 0;
  std::map<int, Probe> probes_;
  int next_slice_ = 0;  // the next slice to compare
  Time next_at_ = 0;
  double loss_ = 0;                        // share of unanswered first pings to live members
  double round_trip_ = 40 * kMillisecond;  // smoothed round-trip time
};

}  // namespace lichenlug::membership
