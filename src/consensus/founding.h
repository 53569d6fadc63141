// Consensus on the first replica group, for a first start that was interrupted before its stores were
// created.
//
// The founding group of the first start is derived from its settings and needs no consensus. After a later
// start, a process with an empty store cannot distinguish a wiped store from one that was never founded.
// Therefore the seats (the machines of the founding group) agree by ballots, as in Paxos with a write quorum
// of all seats: a founding is established once the current store of every seat has voted for it. A later
// ballot must ask all seats too; if any of those stores still exists, it reports its vote, so two foundings
// are never established. A seat whose store holds a register value votes for no other group. The proof is in
// docs/design/system.md.
//
// A state machine: it does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "messages/generated/founding.pb.h"

namespace lichenlug::consensus {

inline constexpr std::uint64_t kFirstStartRound = 1;  // foundings established by votes have higher rounds

// The group of the first start: one store at each seat, with the identity reserved for a first start.
std::string FounderIdentity(const std::string& address);
messages::Founding FirstStartFounding(const std::vector<std::string>& seats);

struct FoundingSend {
  std::string address;
  messages::FoundingMessage message;
};

struct FoundingWrite {  // synced before StoreDone is called with its token
  std::uint64_t token = 0;
  messages::FoundingRecord record;
};

struct FoundingOutput {
  std::vector<FoundingSend> sends;
  std::vector<FoundingWrite> writes;
  // The group to use. If not established, it is the group of the first start, found to have a quorum.
  std::optional<messages::Founding> found;
  bool established = false;
};

struct FoundingSettings {
  std::string proposer;  // unique per process start
  std::string self_address;
  std::string replica_id;          // of the store
  std::vector<std::string> seats;  // addresses
  Time begin_at = 0;               // earliest start of the first round
  Time round_time = 400 * kMillisecond;
};

class FoundingAgreement {
 public:
  // `record`: read from the store at startup.
  FoundingAgreement(FoundingSettings settings, messages::FoundingRecord record);

  // `holds_values`: the store holds a register value, or one is being written.
  void Receive(Time now, const std::string& from_address, const messages::FoundingMessage& message,
               bool holds_values, FoundingOutput* output);
  void StoreDone(Time now, std::uint64_t token, bool written, bool holds_values, FoundingOutput* output);
  void Tick(Time now, bool holds_values, FoundingOutput* output);
  std::optional<Time> NextTimer() const;  // none if there is nothing to agree on

  // Adopts a founding learned from another source if it is newer. `proven`: a value was chosen in its group,
  // or it was established by votes.
  void Learn(const messages::Founding& founding, bool proven, FoundingOutput* output);

  const messages::FoundingRecord& record() const { return record_; }
  // Serializes all state that determines later behavior, except for times. Used by state-exploring tests.
  std::string State() const;
  // False between a vote for another group and its outcome.
  bool MayVoteInRegisters() const;

 private:
  struct Answer {
    messages::ReplicaIdentity seat;
    messages::Founding founding;
    bool has_founding = false;
    bool holds_values = false;
  };
  enum class WriteKind { kPromise, kVote, kLearned };
  struct PendingWrite {
    std::uint64_t token = 0;
    WriteKind kind = WriteKind::kPromise;
    std::string reply_to;
    messages::FoundingRecord record;
  };

  bool IsSeat() const;
  bool IsAcceptable(const messages::FoundingMessage& message) const;
  void BeginRound(Time now, bool holds_values, FoundingOutput* output);
  void OnPrepare(Time now, const std::string& from, const messages::FoundingMessage& message,
                 bool holds_values, FoundingOutput* output);
  void OnPromise(Time now, const std::string& from, const messages::FoundingMessage& message,
                 bool holds_values, FoundingOutput* output);
  void OnPropose(Time now, const std::string& from, const messages::FoundingMessage& message,
                 bool holds_values, FoundingOutput* output);
  void OnVote(Time now, const std::string& from, const messages::FoundingMessage& message,
              FoundingOutput* output);
  void OnEstablished(const messages::Founding& founding, FoundingOutput* output);
  void Decide(Time now, bool holds_values, FoundingOutput* output);
  void Propose(Time now, const messages::ReplicaGroup& group, bool holds_values, FoundingOutput* output);
  void Establish(Time now, const messages::Founding& founding, FoundingOutput* output);
  messages::FoundingPromise MakePromise(const messages::Ballot& ballot, bool holds_values) const;
  void Refuse(Time now, const std::string& to, FoundingOutput* output);
  void Write(WriteKind kind, messages::FoundingRecord record, const std::string& reply_to,
             FoundingOutput* output);
  void WritePendingLearned(FoundingOutput* output);
  bool IsPlausible(const messages::Ballot& ballot) const;
  void Broadcast(Time now, const messages::FoundingMessage& message, bool holds_values,
                 FoundingOutput* output);
  void SendOrHandle(Time now, const std::string& address, messages::FoundingMessage message,
                    bool holds_values, FoundingOutput* output);

  FoundingSettings settings_;
  messages::FoundingRecord record_;  // synced
  bool proven_ = false;

  // The round started by this seat, if one is in progress.
  messages::Ballot ballot_;
  std::uint64_t highest_round_ = kFirstStartRound;
  std::map<std::string, Answer> answers_;  // by address
  std::optional<messages::Founding> proposed_;
  std::map<std::string, std::string> votes_;  // replica id of the store that voted, by address
  Time next_round_ = 0;

  std::optional<PendingWrite> pending_write_;  // one at a time, so that each is based on the synced record
  std::optional<messages::Founding> pending_learned_;  // written next
  std::uint64_t last_token_ = 0;
};

}  // namespace lichenlug::consensus
