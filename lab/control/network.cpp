#include "lab/control/network.h"

#include <algorithm>

namespace lichenlug::lab::control {

namespace {

constexpr std::size_t kFrameBytes = 60;  // header overhead per message
constexpr Time kMinDelay = 200, kMaxDelay = 1500;
constexpr Time kMaxQueued = 8 * kSecond;  // of transmission time; the capacity of a connection's buffer

Time TransmissionTime(std::size_t bytes, LinkSpeed speed) {
  return static_cast<Time>(static_cast<double>(bytes) / speed.bytes_per_microsecond);
}

}  // namespace

void EventQueue::At(Time at, std::function<void()> run) {
  events_.push({std::max(at, now_), ++last_order_, std::move(run)});
}

void EventQueue::RunUntil(Time until) {
  while (!events_.empty() && events_.top().at <= until) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = until;
}

void Network::AddMachine(LinkSpeed speed) { machines_.push_back({speed, 0, 0, 0}); }

void Network::Send(MachineIndex from, MachineIndex to, std::size_t bytes, std::function<void()> on_arrival) {
  const Time now = events_->now();
  Machine& sender = machines_[from];
  Machine& receiver = machines_[to];
  const std::size_t size = bytes + kFrameBytes;
  if (sender.sends_until - now > kMaxQueued) {
    ++dropped_;
    return;
  }
  bytes_ += size;
  sender.bytes += size;
  sender.sends_until = std::max(sender.sends_until, now) + TransmissionTime(size, sender.speed);
  const Time delay = std::uniform_int_distribution<Time>(kMinDelay, kMaxDelay)(*random_);
  const Time reached = sender.sends_until + delay;
  receiver.receives_until =
      std::max(receiver.receives_until, reached) + TransmissionTime(size, receiver.speed);
  Time& last = last_arrival_[{from, to}];
  last = std::max(last + 1, receiver.receives_until);
  events_->At(last, [this, from, to, on_arrival = std::move(on_arrival)] {
    if (!IsCut(from, to)) on_arrival();
  });
}

}  // namespace lichenlug::lab::control
