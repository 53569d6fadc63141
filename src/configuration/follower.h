// Distributes accepted configurations among the dispatchers: pushes down a tree (to one dispatcher per zone,
// which relays within its zone), and periodic polls that compare revisions with another dispatcher. A state
// machine without I/O. The installed revision never decreases until the process restarts.
//
// A push holds the difference from an earlier version if that is much shorter. The last few versions are
// kept, because changes in quick succession reach dispatchers in different orders; a receiver that lacks the
// base answers with the revisions it has. A complete configuration may be a megabyte, which takes most of a
// second on a 10 Mbit/s link: it is sent to a few dispatchers that relay it, and retries wait for as long as
// such a link would need.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/member.h"
#include "configuration/configuration.h"
#include "messages/generated/distribution.pb.h"

namespace lichenlug::configuration {

struct DistributionSend {
  std::string address;
  messages::DistributionMessage message;
};
// How a version reached this dispatcher.
enum class Arrival { kRegister, kWhole, kDifference };

struct FollowerOutput {
  std::vector<DistributionSend> sends;
  bool installed = false;                // Current() is a newer version now
  Arrival arrival = Arrival::kRegister;  // of the installed version
};

struct FollowerStatistics {
  std::uint64_t installed = 0;
  std::uint64_t damaged = 0;  // versions that couldn't be parsed, and pushes with a wrong digest
  std::uint64_t stale = 0;    // pushes of a version that is not newer than the installed one
  std::uint64_t no_base = 0;  // pushes of a difference from a version that is not kept here
  std::uint64_t sent_whole = 0, sent_as_difference = 0;  // pushes
  std::uint64_t sent_bytes = 0;                          // total size of all pushes sent
};

struct FollowerSettings {
  std::string self_name;
  std::string zone;
  Time poll_interval = 400 * kMillisecond;  // well below the time limit for an edition to take effect
  std::uint64_t seed = 0;
};

class Follower {
 public:
  struct Version {
    std::uint64_t revision = 0;
    std::int64_t edition = 0;
    std::string json;
    std::shared_ptr<const messages::Configuration> configuration;
  };

  explicit Follower(FollowerSettings settings);
  ~Follower();

  // A committed version: from an operation of this dispatcher (then it is pushed to the others) or from a
  // read.
  void Learn(Time now, const messages::ConfigurationState& state, bool push, FollowerOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::DistributionMessage& message,
               FollowerOutput* output);
  void SetMembers(Time now, const std::vector<Member>& live);  // this dispatcher excluded
  void Tick(Time now, FollowerOutput* output);
  std::optional<Time> NextTimer() const;

  const Version* Current() const;  // null before the first version
  const FollowerStatistics& statistics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::configuration
