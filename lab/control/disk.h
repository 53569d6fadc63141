// A machine's disk in virtual time: records that are synced, writes on their way, and its troubles.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "lab/control/network.h"
#include "node/node_host.h"

namespace lichenlug::lab::control {

class Disk {
 public:
  // `events` and `random` outlive it.
  Disk(EventQueue* events, std::mt19937_64* random) : events_(events), random_(random) {}

  // Callbacks come later, unless the process has ended by then.
  void Open(const std::string& new_replica_id, std::function<void(node::StoreContents)> done);
  void Write(std::string key, std::string value, std::function<void(bool written)> done);

  // The process ends: callbacks are dropped. Of the writes on their way the first few may be kept.
  void ProcessEnds();
  void Wipe();  // while no process runs
  void StallUntil(Time until) { stalled_until_ = until; }
  void FillUntil(Time until) { full_until_ = until; }
  void SlowBy(Time each_write) { slow_by_ = each_write; }

  bool HoldsStore() const { return !replica_id_.empty(); }

 private:
  struct Pending {
    std::string key, value;
    std::function<void(bool written)> done;
  };

  void PlanWrite();
  void FinishWrite(std::uint64_t life);
  Time Draw(Time most);

  EventQueue* events_;
  std::mt19937_64* random_;
  std::map<std::string, std::string> records_;
  std::string replica_id_;
  std::deque<Pending> pending_;
  std::uint64_t life_ = 0;  // of the process
  Time stalled_until_ = 0, full_until_ = 0, slow_by_ = 0;
};

}  // namespace lichenlug::lab::control
