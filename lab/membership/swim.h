// SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002): probes in shuffled turn, through others when unanswered, suspicion before death, words
// ridden on probes. And Lifeguard on top of it (Dadgar, Phillips and Currey, "Lifeguard: Local Health
// Awareness for More Accurate Failure Detection", 2018): own health stretches the probes, a suspicion lasts
// shorter the more members hold it, a suspect is told at once.
//
// Added to both, as their users add it: one word a second to a member that does not count, so that the halves
// of a split find one another, and a table for one that has just started.
#pragma once

#include <map>
#include <vector>

#include "lab/base/random.h"
#include "lab/membership/rumours.h"

namespace lichenlug::lab {

class Swim : public Detector {
 public:
  struct Settings {
    Time period = 200 * kMillisecond;
    int probes = 4;  // a period
    Time answer = 70 * kMillisecond;
    int helpers = 3;
    Time suspicion = 2150 * kMillisecond;  // Lifeguard: the least
    bool lifeguard = false;
    double max_suspicion = 6;  // times the least; what a suspicion of one member alone lasts
    int confirmations = 3;
    int max_health = 8;
    double times_each = 3;
  };

  Swim(const Settings& settings, const Seat& seat, Time now);

  Time DueAt() const override;
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;
  void Beat(Time now) override;
  void Leave(Time now) override;
  const TierView& View() const override { return rumours_.View(); }

 private:
  enum class Kind : std::uint8_t { kPing, kAck, kAsk, kNack };
  struct Probe {
    int target;
    std::uint16_t number;
    Time ask_at, fails_at;  // ask_at 0: asked
    int nacks_missing = 0;
  };
  struct Help {
    int peer;
    std::uint16_t number;
    Time nack_at, until;  // nack_at 0: none is due
  };
  struct Suspicion {
    Time since = 0;  // 0: none
    std::vector<int> accusers;
  };
  static constexpr std::size_t kMaxRelayedProbes = 64;
  static constexpr Time kJoins = 30 * kSecond;

  static std::size_t Index(int number) { return static_cast<std::size_t>(number); }
  void Say(int peer, Kind kind, std::uint16_t number, int target = -1, bool joins = false);
  void Period(Time now);
  void Reconnect(Time now);
  void CheckProbes(Time now);
  void Accuse(int number, Time now);
  void Heard(const Rumour& rumour, Time now, bool pass_on = true);
  void Healthier(int by);
  Time Lasts(const Suspicion& suspicion) const;
  int NextTarget();
  int AnyBut(int target);

  const Settings settings_;
  const Seat seat_;
  const Time started_;
  Rumours rumours_;
  Random random_;
  Time period_at_, reconnect_at_;
  bool joining_ = true;
  int health_ = 0;  // 0: well
  std::uint16_t number_ = 0;
  std::vector<Probe> probes_;
  std::map<std::uint16_t, Help> helping_;  // by the number of the own ping
  std::vector<Suspicion> suspicions_;
  std::vector<int> turn_;
  std::vector<Datagram> out_;
};

}  // namespace lichenlug::lab
