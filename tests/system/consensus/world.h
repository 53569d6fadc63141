// Deterministic simulation of machines, disks, clocks and a network from one seed. Nodes run in virtual time;
// all their messages, writes and completions pass through the testbed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "alteration.h"
#include "consensus/register_node.h"
#include "history.h"
#include "machine.h"

namespace lichenlug::consensus {

struct NetworkFaults {
  double drop = 0;
  double duplicate = 0;
  double slow = 0;  // fraction of messages delayed by up to half a second, and so reordered
  double alter = 0;
  bool new_checksum = false;  // altered messages get a matching checksum
  int alter_message = -1;     // alters only the message with this index, counted from the start
};

class Testbed {
 public:
  Testbed(std::uint64_t seed, int founders, int others_with_disk, int without_disk);
  Testbed(const Testbed&) = delete;
  Testbed& operator=(const Testbed&) = delete;

  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }

  int machine_count() const { return static_cast<int>(machines_.size()); }
  Machine& machine(int index) { return *machines_[index]; }
  std::vector<int> Running() const;
  History& history(const std::string& register_name) { return histories_[register_name]; }
  std::vector<std::string> Violations() const;  // in all registers

  void At(Time at, std::function<void()> event);
  void RunUntil(Time end);
  bool RunUntil(Time end, const std::function<bool()>& done);

  // Faults.
  NetworkFaults network;
  std::set<std::pair<int, int>> cuts;  // from, to
  void Start(int index);
  void Kill(int index);     // also models a power loss: a random prefix of the pending writes persists
  void Wipe(int index);     // kills the process and gives the machine an empty store with a new identity
  int Add(bool with_disk);  // a machine at a new address
  void Remove(int index);   // permanently
  void Freeze(int index, Time span);
  int lost_replica_count() const { return static_cast<int>(lost_replicas_.size()); }
  // Stops counting lost replicas once each register has completed a change in a group without them and no
  // group change can bring one of them back: that change was submitted after the last loss and after the end
  // of all group changes that began before the loss.
  void ForgetReplacedLosses(const std::vector<std::string>& registers);

  // Client calls.
  int Append(int index, const std::string& register_name, Time timeout);
  int AppendAfter(int index, const std::string& register_name, const std::string& expected, Time timeout);
  int Read(int index, const std::string& register_name, Time timeout);
  int ChangeGroup(int index, const std::string& register_name, const NewGroup& group, Time timeout);
  std::string LastReportedPayload(const std::string& register_name) {
    return reported_payloads_[register_name];
  }

 private:
  struct Event {
    Time at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct ReportedGroup {
    Time submitted_at = -1;
    messages::ReplicaGroup group;
  };

  int Submit(int index, const std::string& register_name, int call, ChangeFunction change, Time timeout);
  Time ClockOf(const Machine& machine) const { return now_ + machine.clock_offset; }
  void HandleOutput(int index, RegisterOutput output);
  void Send(int from, RegisterSend send);
  void Deliver(int from, int to, const messages::RegisterMessage& message);
  void BeginWrite(int index, const RegisterWrite& write);
  void FinishWrite(int index, std::uint64_t incarnation);
  void ScheduleWrite(int index);
  void ScheduleTick(int index);
  void Complete(int index, const Completion& completion);
  void EndGroupCall(int call, const std::string& register_name);

  Time now_ = kSecond;
  std::mt19937_64 random_;
  std::uint64_t last_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<messages::ReplicaIdentity> founding_;
  std::map<std::string, History> histories_;
  std::map<std::string, ReportedGroup> reported_groups_;
  std::map<std::string, std::string> reported_payloads_;
  // Register and submission time of calls, by machine and operation.
  std::map<std::pair<int, OperationId>, std::pair<std::string, Time>> submitted_;
  std::set<std::string> lost_replicas_;
  Time last_loss_ = 0;
  std::map<std::pair<std::string, int>, Time> group_calls_;  // start time of those in progress
  Time old_group_call_ended_ = 0;                            // of the last one begun before the last loss
  Alterer alterer_;
  int messages_sent_ = 0;
};

}  // namespace lichenlug::consensus
