// Messages between machines in virtual time: links of limited bandwidth with a queue in each direction,
// delays, and partitions. Messages between two machines keep their order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace lichenlug::lab::control {

using MachineIndex = std::size_t;

// Callbacks at given virtual times; those of the same time run in the order in which they were added.
class EventQueue {
 public:
  Time now() const { return now_; }
  void At(Time at, std::function<void()> run);
  void After(Time span, std::function<void()> run) { At(now_ + span, std::move(run)); }
  // Runs all callbacks that are due up to `until` and sets the time to it.
  void RunUntil(Time until);

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;  // puts the earliest on top
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t last_order_ = 0;
  Time now_ = 0;
};

struct LinkSpeed {
  double bytes_per_microsecond = 12.5;  // 100 Mbit/s, each way
};

class Network {
 public:
  // `events` and `random` must outlive the network.
  Network(EventQueue* events, std::mt19937_64* random) : events_(events), random_(random) {}

  void AddMachine(LinkSpeed speed);
  void SetSpeed(MachineIndex machine, LinkSpeed speed) { machines_[machine].speed = speed; }

  // In one direction. Messages in flight when they would arrive across a cut are lost.
  void Cut(MachineIndex from, MachineIndex to) { cuts_.insert({from, to}); }
  void Heal(MachineIndex from, MachineIndex to) { cuts_.erase({from, to}); }
  bool IsCut(MachineIndex from, MachineIndex to) const { return cuts_.contains({from, to}); }

  // Runs `on_arrival` when the message has been received. The message is lost by a cut, or if the send queue
  // already holds more than kMaxQueued.
  void Send(MachineIndex from, MachineIndex to, std::size_t bytes, std::function<void()> on_arrival);

  std::uint64_t bytes() const { return bytes_; }  // of all messages sent
  std::uint64_t bytes_sent(MachineIndex from) const { return machines_[from].bytes; }
  std::uint64_t dropped() const { return dropped_; }  // by full queues

 private:
  struct Machine {
    LinkSpeed speed;
    Time sends_until = 0, receives_until = 0;
    std::uint64_t bytes = 0;
  };

  EventQueue* events_;
  std::mt19937_64* random_;
  std::vector<Machine> machines_;
  std::set<std::pair<MachineIndex, MachineIndex>> cuts_;
  std::map<std::pair<MachineIndex, MachineIndex>, Time> last_arrival_;
  std::uint64_t bytes_ = 0, dropped_ = 0;
};

}  // namespace lichenlug::lab::control
