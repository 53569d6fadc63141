// The proposer of one register on one node: a queue of operations, processed one at a time.
//
// An operation that appears to change nothing, judging by the value known locally, starts with a Read.
// Otherwise, or if the Read is not conclusive, it runs Prepare and Accept at increasing ballots until it ends
// or its deadline passes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "consensus/answers.h"
#include "consensus/decision.h"
#include "consensus/outgoing_accept.h"
#include "consensus/replica.h"
#include "consensus/targets.h"

namespace lichenlug::consensus {

// State shared by all proposers of a node.
struct ProposerContext {
  std::string proposer;
  messages::ReplicaGroup founding;
  Time retry_after = 0;
  std::mt19937_64 random;
  std::uint64_t last_request = 0;
  std::size_t min_delta_bytes = kMinDeltaBytes;
  const Replica* replica = nullptr;  // the local replica; null without a store
};

class RegisterProposer {
 public:
  RegisterProposer(ProposerContext* context, std::string register_name);

  void Submit(Time now, Operation operation, RegisterOutput* output);
  void Receive(Time now, const std::string& from_address, const messages::RegisterMessage& message,
               RegisterOutput* output);
  void Tick(Time now, RegisterOutput* output);
  std::optional<Time> NextTimer() const;

  void LearnGroup(const messages::ReplicaGroup& group);
  const messages::ReplicaGroup& KnownGroup() const;  // the newest known version, confirmed or not
  std::size_t operations() const { return queue_.size(); }

 private:
  enum class Phase { kIdle, kRead, kPrepare, kAccept, kBackoff };

  void BeginNext(Time now, RegisterOutput* output);
  void BeginRead(Time now, RegisterOutput* output);
  void BeginPrepare(Time now, RegisterOutput* output);
  void BeginAccept(Time now, Decision decision, RegisterOutput* output);
  void BeginBackoff(Time now);
  void ContactMembers(const std::vector<messages::ReplicaIdentity>& members, RegisterOutput* output);
  void SendTo(std::size_t index, RegisterOutput* output) const;
  void Defer(const Targets::Target& target, const auto& answer);  // a Promise or ReadReply without value
  void ResolveDeferred(Time now, RegisterOutput* output);
  void RequestMissingValue(RegisterOutput* output);
  void Resend(Time now, RegisterOutput* output);

  void OnAnswer(Time now, Targets::Target* target, const AcceptedValue& accepted, RegisterOutput* output);
  void OnRefused(Time now, Targets::Target* target, const messages::Refused& refused, RegisterOutput* output);
  void CheckRead(Time now, bool timed_out, RegisterOutput* output);
  void ScheduleReadRetry(Time now);
  void CheckPrepare(Time now, RegisterOutput* output);
  void CheckAccept(Time now, RegisterOutput* output);
  void OnMissingBase(Time now, const std::string& from_address, const messages::RegisterMessage& message,
                     RegisterOutput* output);
  bool IsQuorumImpossible() const;  // too many replicas have promised a higher ballot for this one to succeed

  void ExpireOperations(Time now, RegisterOutput* output);
  void CompleteOperation(Time now, Outcome outcome, int reason, const messages::RegisterValue& value,
                         RegisterOutput* output);
  void SetTimer(Time now);
  Time AcceptTransferTime() const;
  Time EstimateCompetingRound() const;
  void ObserveRound(const messages::Ballot& ballot);
  AcceptedValue LastKnownValue() const;

  ProposerContext* context_;
  std::string register_name_;
  ValuePointer empty_value_;
  messages::ReplicaGroup confirmed_group_;  // reported by a quorum
  messages::ReplicaGroup hinted_group_;     // learned from other sources
  AcceptedValue recent_;                    // last value seen; kept only without a local replica
  std::uint64_t last_round_ = 0;

  std::deque<Operation> queue_;  // the first one is in progress
  Phase phase_ = Phase::kIdle;
  int attempt_ = 0;  // of the operation in progress
  Time round_started_at_ = 0;
  int resends_ = 0;  // in this phase
  Time timer_ = 0;
  messages::Ballot ballot_;  // in a Read, only an identifier
  AcceptedValue known_;      // replicas may omit this value from their answers in this phase
  Answers answers_;
  Targets targets_;
  // A Read or Prepare requests the full value from one replica, and only its ballot and digest from the
  // others. An answer that refers to a newer value than any known waits here, by replica, for that value.
  struct DeferredAnswer {
    messages::Ballot ballot;
    std::uint64_t digest = 0;
  };
  std::map<std::string, DeferredAnswer> deferred_;
  std::optional<std::size_t> value_source_;  // index of the replica that was asked for the full value
  Decision decision_;                        // of the Accept in progress
  messages::ReplicaGroup base_group_;
  OutgoingAccept accept_;  // the most recent one
};

}  // namespace lichenlug::consensus
