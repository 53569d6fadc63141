// Phi accrual (Hayashibara, Defago, Yared and Katayama, "The phi Accrual Failure Detector", 2004): how
// unlikely the present silence is, by the times between the last heartbeats, taken as normal.
//
// Heartbeats to all do not fit a budget at 300: here a member's go to eight others, the same for all its
// lives; one of them whose phi passes the threshold declares it dead, and words spread as in SWIM.
#pragma once

#include <deque>
#include <vector>

#include "lab/base/random.h"
#include "lab/membership/rumours.h"

namespace lichenlug::lab {

class Phi : public Detector {
 public:
  struct Settings {
    Time period = 150 * kMillisecond;
    int watchers = 8;
    double threshold = 8;
    Time min_deviation = 100 * kMillisecond;
    Time pause = 1850 * kMillisecond;  // of a heartbeat that is borne with
    std::size_t window = 100;
    std::size_t rumour_bytes = 120;  // of a heartbeat
    double times_each = 3;
  };

  Phi(const Settings& settings, const Seat& seat, Time now);

  Time DueAt() const override { return out_.empty() ? due_at_ : started_; }
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;
  void Beat(Time now) override;
  void Leave(Time now) override;
  const TierView& View() const override { return rumours_.View(); }

 private:
  struct Watched {
    std::deque<Time> spans;
    Time heard = 0;  // 0: not in this life, or not since it was declared dead
    std::uint64_t life = 0;
  };
  static constexpr Time kJoins = 30 * kSecond, kCheckInterval = 50 * kMillisecond;

  static std::size_t Index(int number) { return static_cast<std::size_t>(number); }
  void Say(int peer, std::size_t most, bool heartbeat, bool fill);
  double Level(const Watched& watched, Time now) const;

  const Settings settings_;
  const Seat seat_;
  const Time started_;
  Rumours rumours_;
  Random random_;
  std::vector<int> watchers_;
  std::vector<Watched> watched_;  // by number
  std::vector<Time> told_;        // by number: when it was last told that it does not count
  Time due_at_, look_at_ = 0;
  bool joining_ = true;
  std::vector<Datagram> out_;
};

}  // namespace lichenlug::lab
