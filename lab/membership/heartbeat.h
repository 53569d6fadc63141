// Heartbeats to all with a fixed time-out: the plainest detector. The period is what the budget of bytes
// leaves for so large a tier; the time-out is the same at all sizes.
#pragma once

#include <vector>

#include "lab/base/random.h"
#include "lab/membership/detector.h"

namespace lichenlug::lab {

class Heartbeat : public Detector {
 public:
  struct Settings {
    double bytes_a_second = 1850;
    Time shortest = 500 * kMillisecond;
    Time time_out = 2900 * kMillisecond;
    bool declares = true;  // false: for a test of the laboratory
  };

  Heartbeat(const Settings& settings, const Seat& seat, Time now);

  Time DueAt() const override;
  std::vector<Datagram> MakeDatagrams(Time now) override;
  bool HandleMessage(int peer, std::string_view body, Time now) override;
  void Beat(Time now) override;
  void Leave(Time now) override;
  const TierView& View() const override { return view_; }

 private:
  static constexpr std::size_t kBytes = 7;
  static constexpr Time kCheckInterval = 50 * kMillisecond;

  void Set(int number, MemberStatus status, std::uint64_t life);

  const Settings settings_;
  const Seat seat_;
  const Time period_;
  Time due_at_, look_at_ = 0;
  bool left_ = false;
  std::vector<Time> heard_;
  TierView view_;
};

}  // namespace lichenlug::lab
