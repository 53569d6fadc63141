// Simulated network in virtual time: links have limited bandwidth and machines take time to process each
// message. Links and machines process messages first in, first out.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace lichenlug::consensus {

class LinkedNetwork {
 public:
  struct Machine {
    double bytes_per_microsecond = 0;  // of its link, in each direction
    Time processing_time = 0;          // per message
  };

  explicit LinkedNetwork(Time delay) : delay_(delay) {}

  void Add(Machine machine) { machines_.push_back({machine}); }

  Time now() const { return now_; }
  std::uint64_t bytes() const { return bytes_; }  // of all messages

  void At(Time at, std::function<void()> run) { events_.push({at, ++order_, std::move(run)}); }

  void Send(std::size_t from, std::size_t to, std::size_t message_bytes, std::function<void()> on_arrival) {
    const std::size_t size = message_bytes + kFrameBytes;
    bytes_ += size;
    MachineState& sender = machines_[from];
    MachineState& receiver = machines_[to];
    sender.sends_until = std::max(sender.sends_until, now_) + sender.TransferTime(size);
    const Time arrives_at = sender.sends_until + delay_;
    receiver.receives_until = std::max(receiver.receives_until, arrives_at) + receiver.TransferTime(size);
    receiver.busy_until =
        std::max(receiver.busy_until, receiver.receives_until) + receiver.machine.processing_time;
    At(receiver.busy_until, std::move(on_arrival));
  }

  // Runs until the condition holds, no events are left, or the time limit is reached. Returns whether the
  // condition holds.
  bool RunUntil(const std::function<bool()>& condition, Time time_limit) {
    while (!events_.empty() && now_ < time_limit && !condition()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return condition();
  }

 private:
  static constexpr std::size_t kFrameBytes = 40;

  struct MachineState {
    Machine machine;
    Time sends_until = 0, receives_until = 0, busy_until = 0;

    Time TransferTime(std::size_t bytes) const {
      return static_cast<Time>(static_cast<double>(bytes) / machine.bytes_per_microsecond);
    }
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  Time delay_;
  std::vector<MachineState> machines_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t bytes_ = 0;
  Time now_ = 0;
};

}  // namespace lichenlug::consensus
