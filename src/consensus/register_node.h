// Agreement on named registers: compare-and-set by ballots without a log (CASPaxos), each register with its
// own replica group, which is part of the register's value. One RegisterNode a process: replica (where there
// is a store) and proposer. A state machine: it does no I/O and reads no clock.
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

// What a change does with the payload that it finds (empty before the first change).
struct NewPayload {
  std::string payload;
};
struct NewGroup {  // moves the replica group to these members, through a joint group; the payload stays
  std::vector<messages::ReplicaIdentity> members;
  std::uint64_t if_version = 0;  // not 0: only from this group, else the operation ends as kKept, kGroupMoved
};
struct KeepPayload {  // nothing to change; the operation ends as kKept once what it saw is known to be chosen
  int reason = 0;     // the caller's own code, handed back
};
// Reasons of kKept for a NewGroup that is not carried out.
inline constexpr int kGroupMoved = -1;    // the group is not the one of `if_version`
inline constexpr int kGroupInvalid = -2;  // no members, too many, or a replica named twice

using Change = std::variant<NewPayload, NewGroup, KeepPayload>;
using ChangeFunction = std::function<Change(const std::string& payload)>;  // may be called several times

enum class Outcome {
  kChosen,       // the change is on a majority of disks
  kKept,         // KeepPayload, judged against a value that is chosen
  kNotProposed,  // no quorum within the time, and nothing of this change has been sent
  kUnknown,      // no quorum within the time, and the change may yet be chosen
};

struct Completion {
  OperationId operation = 0;
  Outcome outcome = Outcome::kNotProposed;
  int reason = 0;       // of KeepPayload
  std::string payload;  // what is chosen, with kChosen and kKept
  messages::ReplicaGroup group;
};

struct RegisterSend {
  std::string address;
  messages::RegisterMessage message;
};

// A record to be written and synced before StoreDone is called with its token.
struct RegisterWrite {
  std::uint64_t token = 0;
  std::string key;
  std::string value;
};

// A value that another node asks the replica here to accept, chosen or not.
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

// Of a payload: a shorter one is always sent whole.
inline constexpr std::size_t kMinDeltaBytes = 512;

struct RegisterNodeSettings {
  std::string proposer;                                   // unique to this life: name and incarnation
  std::string self_address;                               // of the internal transport
  std::string self_name;                                  // of the machine
  std::string replica_id;                                 // empty: no store, only a proposer
  std::vector<messages::ReplicaIdentity> founding_group;  // of every register, until a newer one is learned
  Time retry_after = 150 * kMillisecond;                  // of a phase without enough answers, with jitter
  Time scrub_interval = kSecond;  // one register is compared with one other replica; 0: never
  std::size_t min_delta_bytes = kMinDeltaBytes;
  std::uint64_t seed = 0;
};

class RegisterNode {
 public:
  explicit RegisterNode(RegisterNodeSettings settings);
  ~RegisterNode();
  RegisterNode(const RegisterNode&) = delete;
  RegisterNode& operator=(const RegisterNode&) = delete;

  // Takes in what the store held at the start, before anything else: all records ever written, by key.
  // Returns false, and takes in nothing, where a record can't be read (then the store counts as lost).
  bool Restore(const std::vector<std::pair<std::string, std::string>>& records);

  // Begins an operation that ends by `deadline`, in exactly one Completion.
  OperationId Submit(Time now, const std::string& register_name, ChangeFunction change, Time deadline,
                     RegisterOutput* output);

  // Looks at what is chosen and proposes nothing: ends as kKept, or as kNotProposed where no quorum of
  // replicas has said the same by `deadline`. Many may read at once without outbidding one another.
  OperationId Read(Time now, const std::string& register_name, Time deadline, RegisterOutput* output);

  void Receive(Time now, const std::string& from_address, const messages::RegisterMessage& message,
               RegisterOutput* output);
  void StoreDone(Time now, std::uint64_t token, bool written, RegisterOutput* output);
  void Tick(Time now, RegisterOutput* output);
  std::optional<Time> NextTimer() const;  // when Tick is wanted at the latest

  // A hint from elsewhere (a member's word): tried where the known group does not answer. Never trusted over
  // what replicas say.
  void LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group);
  messages::ReplicaGroup KnownGroup(const std::string& register_name) const;

  // Moves to a founding group that another one was given up for (consensus/founding.h). Ends all operations
  // without completions; what the replica has promised stays. `proposer` is unique to this life and founding.
  void ReplaceFoundingGroup(const std::vector<messages::ReplicaIdentity>& founding_group,
                            const std::string& proposer);
  // While its store's vote for another founding is open, the replica neither promises, accepts nor answers.
  void SetVoting(bool voting);
  bool HoldsValues() const;  // its replica has accepted one, or is writing one

  // What this node's own replica has accepted last, chosen or not; none without a store.
  std::optional<messages::RegisterValue> LocalValue(const std::string& register_name) const;
  std::vector<std::string> RegisterNames() const;  // those its replica holds

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlug::consensus
