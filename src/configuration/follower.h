// Brings each configuration that was taken to this dispatcher, and from it to others: pushes down a tree (to
// one dispatcher a zone, which relays within its zone) and a tiny comparison of revisions with others. A
// state machine. Never goes back within a life.
//
// A push holds the difference from an earlier version, where that is much shorter. The last few versions are
// kept, as changes in quick succession reach dispatchers in different orders; one that lacks the base tells
// which it holds. A whole configuration may be a megabyte, which is most of a second on a link of 10 Mbit/s:
// it goes to a few that relay it, and repeats wait for as long as such a link would need.
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
// How a version came to this dispatcher.
enum class Arrival { kRegister, kWhole, kDifference };

struct FollowerOutput {
  std::vector<DistributionSend> sends;
  bool installed = false;                // Current() is a newer one now
  Arrival arrival = Arrival::kRegister;  // of it
};

struct FollowerStatistics {
  std::uint64_t installed = 0;
  std::uint64_t damaged = 0;  // pushes that were not what their digest says, or could not be read
  std::uint64_t stale = 0;    // pushes of a version that is no newer than the one here
  std::uint64_t no_base = 0;  // pushes of a difference from a version that is not here
  std::uint64_t sent_whole = 0, sent_as_difference = 0;  // pushes
  std::uint64_t sent_bytes = 0;                          // of pushes
};

struct FollowerSettings {
  std::string self_name;
  std::string zone;
  Time poll_interval = 400 * kMillisecond;  // well under the bound for an edition to be in force
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

  // A version known to be chosen: from an operation here (then it is pushed to the others), or from a read.
  void Learn(Time now, const messages::ConfigurationState& state, bool push, FollowerOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::DistributionMessage& message,
               FollowerOutput* output);
  void SetMembers(Time now, const std::vector<Member>& live);  // without this one
  void Tick(Time now, FollowerOutput* output);
  std::optional<Time> NextTimer() const;

  const Version* Current() const;  // null before the first
  const FollowerStatistics& statistics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::configuration
