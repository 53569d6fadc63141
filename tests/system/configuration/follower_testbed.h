// Followers on a simulated network, deterministic for a given seed: messages may be lost, duplicated, delayed
// (thus reordered) and damaged, and links may be slow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "configuration/follower.h"
#include "sample.h"

namespace lichenlug::configuration {

struct NetworkFaults {
  double lost = 0, duplicated = 0, damaged = 0;
  Time delay = kMillisecond, max_extra_delay = 0;  // the fixed part, and the maximum of the random part
};

enum class MessageFault { kLose, kDuplicate, kDelay, kDamage };

class FollowerTestbed {
 public:
  FollowerTestbed(std::size_t count, std::size_t zones, std::uint64_t seed);

  // A committed version; no follower knows it yet.
  messages::ConfigurationState MakeVersion(const Json& configuration);
  void Learn(std::size_t node, const messages::ConfigurationState& state, bool push);
  void Run(Time span);
  // Runs until all live followers have the newest version. Returns the time that it took, or `limit` if it
  // took longer.
  Time RunUntilAllCurrent(Time limit);
  void Kill(std::size_t node) { dead_.insert(node); }  // immediately; the others still consider it live
  bool Dead(std::size_t node) const { return dead_.contains(node); }
  void Restart(std::size_t node);  // with empty state
  // For each direction, with a queue. By default a transfer takes no time.
  void SetLink(std::size_t node, double bytes_per_microsecond) { links_[node].speed = bytes_per_microsecond; }

  std::size_t size() const { return followers_.size(); }
  const Follower& follower(std::size_t node) const { return *followers_[node]; }
  const Member& member(std::size_t node) const { return members_[node]; }
  std::size_t Find(const std::string& address) const;
  std::uint64_t Newest() const { return versions_.size(); }

  NetworkFaults faults;
  MessageFault message_fault = MessageFault::kLose;  // the fault applied to one message
  std::size_t faulty_message = 0;                    // the number of that message, from 1; 0: none
  Time now = 1000 * kSecond;
  std::size_t messages = 0;          // number sent
  std::size_t pushes = 0;            // of these messages
  std::size_t bytes = 0;             // of all messages sent
  std::string reverted, mismatched;  // a violating follower's name; empty if there is none

 private:
  struct Delivery {
    std::size_t from = 0, to = 0;
    std::string bytes;
  };

  struct Link {
    double speed = 0;  // bytes per microsecond; 0: unlimited
    Time send_busy_until = 0, receive_busy_until = 0;
  };

  Time Arrival(std::size_t from, std::size_t to, std::size_t size, Time delay);
  bool Chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
  void HandleOutput(std::size_t node, const FollowerOutput& output);
  void Send(std::size_t from, const DistributionSend& send);
  void Deliver(const Delivery& delivery);
  void Step(Time until);
  std::string WithFlippedBit(std::string bytes);
  bool AllCurrent() const;

  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::vector<Link> links_;
  std::vector<std::unique_ptr<Follower>> followers_;
  std::vector<std::uint64_t> revisions_;  // last seen, by follower
  std::vector<messages::ConfigurationState> versions_;
  std::multimap<Time, Delivery> deliveries_;
  std::set<std::size_t> dead_;
};

}  // namespace lichenlug::configuration
