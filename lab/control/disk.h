// A machine's disk in virtual time: synced records, pending writes, and injected faults.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "lab/control/network.h"
#include "node/node_host.h"

namespace lichenlug::lab::control {

class Disk {
 public:
  // `events` and `random` must outlive the disk.
  Disk(EventQueue* events, std::mt19937_64* random) : events_(events), random_(random) {}

  // Callbacks run asynchronously, and not at all if the process has ended by then.
  void Open(const std::string& new_replica_id, std::function<void(node::StoreContents)> done);
  void Write(std::string key, std::string value, std::function<void(bool written)> done);
  void Erase(std::string key);

  // Called when the process ends: drops all callbacks. A random prefix of the pending writes is persisted.
  void OnProcessEnd();
  void Wipe();  // only while no process runs
  void StallUntil(Time until) { stalled_until_ = until; }
  void FillUntil(Time until) { full_until_ = until; }
  void SlowBy(Time each_write) { slow_by_ = each_write; }

  bool HasStore() const { return !replica_id_.empty(); }

 private:
  struct Pending {
    std::string key;
    std::optional<std::string> value;  // none: the record is erased
    std::function<void(bool written)> done;
  };

  void Enqueue(Pending write);
  void Persist(const Pending& write);
  void ScheduleWrite();
  void FinishWrite(std::uint64_t generation);
  Time RandomTime(Time max);

  EventQueue* events_;
  std::mt19937_64* random_;
  std::map<std::string, std::string> records_;
  std::string replica_id_;
  std::deque<Pending> pending_;
  std::uint64_t generation_ = 0;  // counts process lifetimes; a callback of an earlier one is dropped
  Time stalled_until_ = 0, full_until_ = 0, slow_by_ = 0;
};

}  // namespace lichenlug::lab::control
