// Members in virtual time on a network with delays, message loss and partitions; deterministic for a seed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "membership/membership.h"
#include "membership/random.h"

namespace lichenlug::membership_ring {

struct NetworkSettings {
  int members = 10;
  int seeds = 3;
  std::uint64_t seed = 1;
  double loss = 0;
};

class SimulatedNetwork {
 public:
  // Returns the altered bytes of a message, or none to leave it unchanged.
  using Mutator = std::function<std::optional<std::string>(const messages::MembershipMessage&)>;

  explicit SimulatedNetwork(const NetworkSettings& settings);

  Time now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }

  void Start(int node);        // a new start of the process
  void StartAll(Time within);  // in random order
  void Kill(int node);
  void Leave(int node);  // announces the departure, then stops
  bool UpdateSelf(int node, bool ready, const std::string& replica_id);  // true if a change was reported
  void Pause(int node);
  void Resume(int node);
  int AddReplacement(const std::string& name);  // a machine at a new address; not started
  void SetBlockedLinks(std::function<bool(int from, int to)> is_blocked) {
    is_blocked_ = std::move(is_blocked);
  }
  void SetLoss(double loss) { settings_.loss = loss; }
  void StepClock(int node, Time by) { nodes_[static_cast<std::size_t>(node)].clock_offset += by; }
  void SetMutator(Mutator mutator) { mutator_ = std::move(mutator); }

  void RunFor(Time span);
  // Runs until the condition holds, checked every 10 ms. Returns the elapsed time, or none after `timeout`.
  std::optional<Time> RunUntil(const std::function<bool()>& condition, Time timeout);

  const Membership& member(int node) const { return *nodes_[static_cast<std::size_t>(node)].membership; }
  bool IsRunning(int node) const { return nodes_[static_cast<std::size_t>(node)].membership != nullptr; }
  std::string NameOf(int node) const { return nodes_[static_cast<std::size_t>(node)].name; }
  std::string AddressOf(int node) const { return nodes_[static_cast<std::size_t>(node)].address; }
  std::vector<int> Running() const;

  bool Sees(int observer, int other) const;
  bool SeesAll(int observer, const std::vector<int>& others) const;
  bool AllSeeExactly(
      const std::vector<int>& group) const;  // each member of the group sees exactly the group as live
  bool AllAgree() const { return AllSeeExactly(Running()); }
  bool SameRecords(const std::vector<int>& group) const;  // and with the fields of each member's own record

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t Refutations() const;  // of running members since their last start

 private:
  struct Node {
    std::string name, address;
    std::unique_ptr<Membership> membership;
    std::uint64_t start_number = 0, first_incarnation = 0;
    Time clock_offset = 0;
    Time timer_at = 0;
    bool paused = false;
    mutable std::optional<std::vector<Member>> live;  // as of the last change that the member reported
    std::vector<std::pair<std::string, std::string>> undelivered;  // sender's address and bytes, while paused
  };
  struct Event {
    Time at;
    std::uint64_t number;
    int node;
    std::uint64_t start_number;
    std::string from;   // empty: a timer
    std::string bytes;  // of the message
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  const std::vector<Member>& LiveOf(int node) const;
  bool SeesExactly(int observer, const std::vector<std::string>& sorted_names) const;
  Node& At(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  void AddNode(const std::string& name);
  void Transmit(int from, const MembershipOutput& output);
  void Deliver(int node, const std::string& from, const std::string& bytes);
  void Tick(int node);
  void SetTimer(int node);
  void Push(Event event);
  void Handle(const Event& event);
  int NodeAt(const std::string& address) const;

  NetworkSettings settings_;
  Random random_;
  std::vector<Node> nodes_;
  std::vector<Event> events_;  // a heap, the earliest first
  std::function<bool(int, int)> is_blocked_;
  Mutator mutator_;
  Time now_ = 1'700'000'000 * kSecond;
  std::uint64_t event_count_ = 0, bytes_sent_ = 0, messages_sent_ = 0;
};

}  // namespace lichenlug::membership_ring
