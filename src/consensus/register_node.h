// Consensus on named registers: compare-and-set by ballots without a log (CASPaxos). Each register has its
// own replica group, which is part of the register's value. Each process has one RegisterNode, which acts as
// proposer and, if it has a store, as replica. It is a state machine that does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "consensus/value.h"
#include "messages/generated/consensus.pb.h"

namespace lichenlug::consensus {

using OperationId = std::uint64_t;

// What a change does with the current payload (empty before the first change).
struct NewPayload {
  std::string payload;
};
// Changes the replica group to these members through a joint group; the payload is unchanged.
struct NewGroup {
  std::vector<messages::ReplicaIdentity> members;
  // If not 0, the group must have this version; otherwise the operation ends as kKept with kGroupMoved.
  std::uint64_t if_version = 0;
};
// Changes nothing; the operation ends as kKept once the payload it saw is known to be chosen.
struct KeepPayload {
  int reason = 0;  // caller-defined code, returned in the Completion
};
// Reasons for kKept when a NewGroup is not carried out.
inline constexpr int kGroupMoved = -1;    // the group's version is not `if_version`
inline constexpr int kGroupInvalid = -2;  // no members, too many, or a duplicate replica

using Change = std::variant<NewPayload, NewGroup, KeepPayload>;
using ChangeFunction = std::function<Change(const std::string& payload)>;  // may be called several times

enum class Outcome {
  kChosen,       // the change is on a majority of disks
  kKept,         // KeepPayload, evaluated against a chosen value
  kNotProposed,  // no quorum before the deadline, and the change was never sent
  kUnknown,      // no quorum before the deadline, and the change may still be chosen
};

struct Completion {
  OperationId operation = 0;
  Outcome outcome = Outcome::kNotProposed;
  int reason = 0;       // from KeepPayload
  std::string payload;  // the chosen payload, for kChosen and kKept
  messages::ReplicaGroup group;
};

struct RegisterSend {
  std::string address;
  messages::RegisterMessage message;
};

// A record that must be written and synced before StoreDone is called with its token.
struct RegisterWrite {
  std::uint64_t token = 0;
  std::string key;
  std::string value;
};

// A value that another node has proposed to the local replica, whether or not it is chosen.
struct RegisterProposal {
  std::string register_name;
  ValuePointer value;
};

struct RegisterOutput {
  std::vector<RegisterSend> sends;
  std::vector<RegisterWrite> writes;
  std::vector<Completion> completions;
  std::vector<RegisterProposal> proposals;
};

// Shorter payloads are always sent in full.
inline constexpr std::size_t kMinDeltaBytes = 512;

struct RegisterNodeSettings {
  std::string proposer;                                   // unique per process start: name and incarnation
  std::string self_address;                               // of the internal transport
  std::string self_name;                                  // of the machine
  std::string replica_id;                                 // empty: no store, proposer only
  std::vector<messages::ReplicaIdentity> founding_group;  // of every register until a newer one is learned
  Time retry_after = 150 * kMillisecond;                  // resend interval within a phase, plus jitter
  Time scrub_interval = kSecond;  // each time, one register is compared with one replica; 0: never
  std::size_t min_delta_bytes = kMinDeltaBytes;
  std::uint64_t seed = 0;
};

class RegisterNode {
 public:
  explicit RegisterNode(RegisterNodeSettings settings);
  ~RegisterNode();
  RegisterNode(const RegisterNode&) = delete;
  RegisterNode& operator=(const RegisterNode&) = delete;

  // Restores the state from the store's records, by key. Must be called before any other function. If a
  // record cannot be parsed, restores nothing and returns false (the store then counts as lost).
  bool Restore(const std::vector<std::pair<std::string, std::string>>& records);

  // Starts an operation that ends by `deadline` with exactly one Completion.
  OperationId Submit(Time now, const std::string& register_name, ChangeFunction change, Time deadline,
                     RegisterOutput* output);

  // Reads the chosen value without proposing anything. Ends as kKept, or as kNotProposed if no quorum of
  // replicas agrees by `deadline`. Concurrent reads do not preempt one another.
  OperationId Read(Time now, const std::string& register_name, Time deadline, RegisterOutput* output);

  void Receive(Time now, const std::string& from_address, const messages::RegisterMessage& message,
               RegisterOutput* output);
  void StoreDone(Time now, std::uint64_t token, bool written, RegisterOutput* output);
  void Tick(Time now, RegisterOutput* output);
  std::optional<Time> NextTimer() const;  // latest time at which Tick must be called

  // A hint from another source, such as a cluster member. It only adds replicas to contact and never
  // overrides the answers of replicas.
  void LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group);
  messages::ReplicaGroup KnownGroup(const std::string& register_name) const;

  // Switches to a founding group that replaces an abandoned one (consensus/founding.h). Drops all operations
  // without completions; the replica's promises remain. `proposer` is unique per process start and founding.
  void ReplaceFoundingGroup(const std::vector<messages::ReplicaIdentity>& founding_group,
                            const std::string& proposer);
  // While voting is off (its store's vote for another founding is undecided), the replica neither promises,
  // accepts nor answers.
  void SetVoting(bool voting);
  bool HoldsValues() const;  // the local replica has accepted a value or is writing one

  // The value that the local replica accepted last, chosen or not; none without a store.
  std::optional<messages::RegisterValue> LocalValue(const std::string& register_name) const;
  std::vector<std::string> RegisterNames() const;  // of the local replica's registers

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::consensus
