// Agreement on the first replica group, where the first start was cut short before its stores were made.
//
// The founding group of the first start is derived from its settings and needs no agreement. A process of a
// later start with an empty store can't tell whether it was wiped or nothing was ever founded. So the seats
// (the machines that were to found) agree by ballots, as in Paxos with a write quorum of all seats: a
// founding is established once the present store of every seat has voted for it. A later ballot asks all
// seats as well; as long as one of these stores lives it tells of its vote, so two foundings are never
// established. A seat whose store holds a register's value votes for no other group. docs/design/system.md
// holds the proof.
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

inline constexpr std::uint64_t kFirstStartRound = 1;  // ballots of foundings that were agreed on are higher

// The group of the first start: a store at each seat, with the identity that only a first start gives.
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
  // The group to go on with. Not established: the one of the first start, which was found able to work.
  std::optional<messages::Founding> found;
  bool established = false;
};

struct FoundingSettings {
  std::string proposer;  // unique to this life
  std::string self_address;
  std::string replica_id;          // of the store
  std::vector<std::string> seats;  // addresses
  Time begin_at = 0;               // the first round starts then at the earliest
  Time round_time = 400 * kMillisecond;
};

class FoundingAgreement {
 public:
  // `record`: what the store held at the start.
  FoundingAgreement(FoundingSettings settings, messages::FoundingRecord record);

  // `holds_values`: the store holds a register's value, or one is being written.
  void Receive(Time now, const std::string& from_address, const messages::FoundingMessage& message,
               bool holds_values, FoundingOutput* output);
  void StoreDone(Time now, std::uint64_t token, bool written, bool holds_values, FoundingOutput* output);
  void Tick(Time now, bool holds_values, FoundingOutput* output);
  std::optional<Time> NextTimer() const;  // none where there is nothing to agree on

  // Takes in what was learned elsewhere, where it is newer. `proven`: a value was chosen in it, or it was
  // agreed on.
  void Learn(const messages::Founding& founding, bool proven, FoundingOutput* output);

  const messages::FoundingRecord& record() const { return record_; }
  // All that the answers to later inputs depend on, but for times: for tests that explore its states.
  std::string State() const;
  // Not between a vote for another group and its outcome.
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
  bool Takes(const messages::FoundingMessage& message) const;
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
  messages::FoundingPromise PromiseOf(const messages::Ballot& ballot, bool holds_values) const;
  void Refuse(Time now, const std::string& to, FoundingOutput* output);
  void Write(WriteKind kind, messages::FoundingRecord record, const std::string& reply_to,
             FoundingOutput* output);
  void WriteLearned(FoundingOutput* output);
  bool IsPlausible(const messages::Ballot& ballot) const;
  void Broadcast(Time now, const messages::FoundingMessage& message, bool holds_values,
                 FoundingOutput* output);
  void SendOrHandle(Time now, const std::string& address, messages::FoundingMessage message,
                    bool holds_values, FoundingOutput* output);

  FoundingSettings settings_;
  messages::FoundingRecord record_;  // synced
  bool proven_ = false;

  // The round of this seat, if one is under way.
  messages::Ballot ballot_;
  std::uint64_t highest_round_ = kFirstStartRound;
  std::map<std::string, Answer> answers_;  // by address
  std::optional<messages::Founding> proposed_;
  std::map<std::string, std::string> votes_;  // the store that voted, by address
  Time next_round_ = 0;

  std::optional<PendingWrite> writing_;         // one at a time, so that each builds on what is synced
  std::optional<messages::Founding> to_learn_;  // to be written next
  std::uint64_t last_token_ = 0;
};

}  // namespace lichenlug::consensus
