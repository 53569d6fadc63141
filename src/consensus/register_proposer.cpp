#include "consensus/register_proposer.h"

#include <algorithm>

#include "consensus/ballot.h"
#include "consensus/group.h"

namespace lichenlug::consensus {
namespace {

constexpr Time kMinBackoff = 5 * kMillisecond;
constexpr Time kInitialMaxBackoff = 10 * kMillisecond;  // upper bound before the first retry; doubles
constexpr int kBackoffDoublings = 2;
constexpr int kResendDoublings = 3;
// An Accept is sent as a delta this many times, then in full: the receiver may not support deltas.
constexpr int kMaxDeltaSends = 2;
constexpr std::int64_t kMinLinkBytesPerMillisecond = 1000;  // 80 % of a 10 Mbit/s link
constexpr Time kMaxRoundTime = 2 * kSecond;                 // upper bound of the time granted to a competitor
constexpr Time kMaxEstimatedRoundTime = 150 * kMillisecond;
constexpr Time kReadRetryDelay = 60 * kMillisecond;  // while replicas disagree; plus jitter

Time SlowLinkTransferTime(std::size_t bytes) {
  return static_cast<Time>(bytes) / kMinLinkBytesPerMillisecond * kMillisecond;
}

ValuePointer EmptyValue(const messages::ReplicaGroup& founding) {
  auto value = std::make_shared<messages::RegisterValue>();
  *value->mutable_group() = founding;
  return value;
}

}  // namespace

RegisterProposer::RegisterProposer(ProposerContext* context, std::string register_name)
    : context_(context),
      register_name_(std::move(register_name)),
      empty_value_(EmptyValue(context->founding)),
      confirmed_group_(context->founding),
      answers_(empty_value_) {}

void RegisterProposer::Submit(Time now, Operation operation, RegisterOutput* output) {
  queue_.push_back(std::move(operation));
  if (phase_ == Phase::kIdle) BeginNext(now, output);
}

void RegisterProposer::BeginNext(Time now, RegisterOutput* output) {
  phase_ = Phase::kIdle;
  attempt_ = 0;
  if (queue_.empty()) return;
  const AcceptedValue held = LastKnownValue();
  const bool reads = queue_.front().read_only ||
                     OnlyReads(queue_.front(), held.value != nullptr ? *held.value : *empty_value_);
  reads ? BeginRead(now, output) : BeginPrepare(now, output);
}

void RegisterProposer::BeginRead(Time now, RegisterOutput* output) {
  phase_ = Phase::kRead;
  ballot_.set_round(context_->last_request + 1);
  ballot_.set_proposer(context_->proposer);
  known_ = LastKnownValue();
  answers_ = Answers(empty_value_);
  targets_ = Targets();
  deferred_.clear();
  value_source_.reset();
  resends_ = 0;
  SetTimer(now);
  ContactMembers(AllMembers(KnownGroup()), output);
}

void RegisterProposer::BeginPrepare(Time now, RegisterOutput* output) {
  phase_ = Phase::kPrepare;
  round_started_at_ = now;
  if (context_->replica != nullptr) {
    last_round_ = std::max(last_round_, context_->replica->HighestRound(register_name_));
  }
  ballot_.set_round(++last_round_);
  ballot_.set_proposer(context_->proposer);
  known_ = LastKnownValue();
  answers_ = Answers(empty_value_);
  targets_ = Targets();
  deferred_.clear();
  value_source_.reset();
  resends_ = 0;
  SetTimer(now);
  ContactMembers(AllMembers(KnownGroup()), output);
}

void RegisterProposer::BeginAccept(Time now, Decision decision, RegisterOutput* output) {
  phase_ = Phase::kAccept;
  decision_ = std::move(decision);
  base_group_ = answers_.best().value->group();
  deferred_.clear();
  if (decision_.carries_change) queue_.front().sent.push_back(ballot_);
  targets_ = Targets();
  resends_ = 0;
  accept_ =
      OutgoingAccept(register_name_, ballot_, decision_.value, answers_.best(), context_->min_delta_bytes);
  for (const auto& member : AllMembers(base_group_)) {
    if (answers_.HasDifferentValue(member.replica_id())) accept_.SendFullValueTo(member.replica_id());
  }
  ContactMembers(AllMembers(base_group_), output);
  ContactMembers(AllMembers(decision_.value.group()), output);
  SetTimer(now);
}

// Another proposer is active. Before preempting it in turn, wait for as long as a round took here, or as a
// round of the other proposer is estimated to take.
void RegisterProposer::BeginBackoff(Time now) {
  phase_ = Phase::kBackoff;
  const int doublings = std::min(attempt_++, kBackoffDoublings);
  const Time round = std::min(std::max(now - round_started_at_, EstimateCompetingRound()), kMaxRoundTime);
  const Time shortest = std::max(kMinBackoff, round / 2);
  const Time longest = std::max(kInitialMaxBackoff << doublings, shortest + (round << doublings) / 2);
  timer_ = now + std::uniform_int_distribution<Time>(shortest, longest)(context_->random);
}

void RegisterProposer::ContactMembers(const std::vector<messages::ReplicaIdentity>& members,
                                      RegisterOutput* output) {
  if (!value_source_ && !members.empty()) value_source_ = context_->random() % members.size();
  for (const std::size_t index : targets_.Add(members, &context_->last_request)) SendTo(index, output);
}

void RegisterProposer::SendTo(std::size_t index, RegisterOutput* output) const {
  const auto& target = targets_.at(index);
  RegisterSend send{target.replica.address(), {}};
  send.message.set_register_name(register_name_);
  send.message.set_replica_id(target.replica.replica_id());
  send.message.set_operation(target.request);
  if (phase_ == Phase::kAccept) {
    *send.message.mutable_accept() = accept_.MessageFor(target.replica.replica_id());
  } else if (phase_ == Phase::kPrepare) {
    *send.message.mutable_prepare()->mutable_ballot() = ballot_;
    *send.message.mutable_prepare()->mutable_known() = known_.ballot;
    send.message.mutable_prepare()->set_without_value(value_source_ != index);
  } else {
    *send.message.mutable_read()->mutable_ballot() = ballot_;
    *send.message.mutable_read()->mutable_known() = known_.ballot;
    send.message.mutable_read()->set_without_value(value_source_ != index);
  }
  output->sends.push_back(std::move(send));
}

void RegisterProposer::Resend(Time now, RegisterOutput* output) {
  if (++resends_ >= kMaxDeltaSends && phase_ == Phase::kAccept) accept_.SendFullValueToAll();
  const auto unanswered = targets_.Unanswered();
  // The value source may be down: choose another one, preferably a replica that has reported a value.
  if (!unanswered.empty()) value_source_ = unanswered[context_->random() % unanswered.size()];
  for (const std::size_t index : unanswered) {
    if (deferred_.contains(targets_.at(index).replica.replica_id())) value_source_ = index;
  }
  for (const std::size_t index : unanswered) SendTo(index, output);
  SetTimer(now);
  if (phase_ == Phase::kAccept) return;
  for (const auto& group : {KnownGroup(), confirmed_group_, context_->founding}) {
    ContactMembers(AllMembers(group), output);
  }
}

void RegisterProposer::Receive(Time now, const std::string& from_address,
                               const messages::RegisterMessage& message, RegisterOutput* output) {
  if (message.has_refused() && message.refused().lacks_base())
    return OnMissingBase(now, from_address, message, output);
  if (phase_ == Phase::kIdle || phase_ == Phase::kBackoff) return;
  Targets::Target* target = targets_.Match(from_address, message);
  if (target == nullptr) return;
  if (message.has_refused() && Equal(message.refused().ballot(), ballot_)) {
    OnRefused(now, target, message.refused(), output);
  } else if (phase_ == Phase::kPrepare && message.has_promise() &&
             Equal(message.promise().ballot(), ballot_)) {
    const auto accepted = ExtractAccepted(register_name_, message.promise(), known_);
    if (!accepted) Defer(*target, message.promise());
    if (accepted) OnAnswer(now, target, *accepted, output);
    ResolveDeferred(now, output);
  } else if (phase_ == Phase::kRead && message.has_read_reply() &&
             Equal(message.read_reply().ballot(), ballot_)) {
    const auto accepted = ExtractAccepted(register_name_, message.read_reply(), known_);
    if (!accepted) Defer(*target, message.read_reply());
    if (accepted) OnAnswer(now, target, *accepted, output);
    ResolveDeferred(now, output);
  } else if (phase_ == Phase::kAccept && message.has_accepted() &&
             Equal(message.accepted().ballot(), ballot_)) {
    target->state = Targets::State::kAnswered;
    CheckAccept(now, output);
  }
}

void RegisterProposer::Defer(const Targets::Target& target, const auto& answer) {
  if (target.state != Targets::State::kPending || answer.has_value() || IsNone(answer.accepted())) return;
  if (answer.claim() != ClaimDigest(register_name_, answer.accepted(), answer.digest())) return;
  deferred_[target.replica.replica_id()] = {answer.accepted(), answer.digest()};
}

// An answer counts once its value or a newer one is known.
void RegisterProposer::ResolveDeferred(Time now, RegisterOutput* output) {
  const Phase phase = phase_;
  if (phase != Phase::kRead && phase != Phase::kPrepare) return;
  const std::map<std::string, DeferredAnswer> waiting = deferred_;
  const messages::Ballot ballot = ballot_;
  for (const auto& [replica_id, answer] : waiting) {
    if (phase_ != phase || !Equal(ballot_, ballot)) return;
    const AcceptedValue& best = answers_.best();
    if (Less(best.ballot, answer.ballot)) continue;
    const bool is_best = Equal(best.ballot, answer.ballot);
    Targets::Target* target = targets_.FindPending(replica_id);
    deferred_.erase(replica_id);
    if (target == nullptr || (is_best && best.digest != answer.digest)) continue;
    OnAnswer(now, target, is_best ? best : AcceptedValue{answer.ballot, nullptr, answer.digest}, output);
  }
  if (phase_ == phase && Equal(ballot_, ballot)) RequestMissingValue(output);
}

// Requests the full value from another replica if the value source has answered with an older value or has
// refused.
void RegisterProposer::RequestMissingValue(RegisterOutput* output) {
  if (deferred_.empty() || !value_source_ || *value_source_ >= targets_.size()) return;
  const Targets::Target& source = targets_.at(*value_source_);
  if (source.state == Targets::State::kPending) return;
  const auto newest = std::max_element(deferred_.begin(), deferred_.end(), [](const auto& a, const auto& b) {
    return Less(a.second.ballot, b.second.ballot);
  });
  for (const std::size_t index : targets_.Unanswered()) {
    if (targets_.at(index).replica.replica_id() != newest->first) continue;
    value_source_ = index;
    return SendTo(index, output);
  }
}

void RegisterProposer::OnAnswer(Time now, Targets::Target* target, const AcceptedValue& accepted,
                                RegisterOutput* output) {
  if (target->state == Targets::State::kAnswered) return;
  target->state = Targets::State::kAnswered;
  ObserveRound(accepted.ballot);
  answers_.Add(target->replica.replica_id(), accepted);
  ContactMembers(AllMembers(answers_.best().value->group()), output);
  phase_ == Phase::kRead ? CheckRead(now, /*timed_out=*/false, output) : CheckPrepare(now, output);
}

void RegisterProposer::OnRefused(Time now, Targets::Target* target, const messages::Refused& refused,
                                 RegisterOutput* output) {
  if (target->state != Targets::State::kPending) return;
  LearnGroup(refused.group());
  if (refused.wrong_replica()) {
    target->state = Targets::State::kWrongReplica;
    if (phase_ != Phase::kAccept) ContactMembers(AllMembers(KnownGroup()), output);
    if (phase_ == Phase::kRead) CheckRead(now, /*timed_out=*/false, output);
    return RequestMissingValue(output);
  }
  if (phase_ == Phase::kRead) return;
  target->state = Targets::State::kPreempted;
  ObserveRound(refused.promised());
  if (IsQuorumImpossible()) return BeginBackoff(now);
  RequestMissingValue(output);
}

void RegisterProposer::OnMissingBase(Time now, const std::string& from_address,
                                     const messages::RegisterMessage& message, RegisterOutput* output) {
  if (!accept_.HandleMissingBase(message.replica_id(), message.refused().ballot())) return;
  RegisterSend send{from_address, {}};
  send.message.set_register_name(register_name_);
  send.message.set_replica_id(message.replica_id());
  send.message.set_operation(message.operation());
  *send.message.mutable_accept() = accept_.MessageFor(message.replica_id());
  output->sends.push_back(std::move(send));
  if (phase_ == Phase::kAccept) SetTimer(now);
}

bool RegisterProposer::IsQuorumImpossible() const {
  const VotePredicate may_answer = [this](const std::string& id) {
    return !targets_.Has(id, Targets::State::kPreempted);
  };
  if (phase_ == Phase::kPrepare) return !IsQuorum(answers_.best().value->group(), may_answer);
  return !IsQuorum(base_group_, may_answer) || !IsQuorum(decision_.value.group(), may_answer);
}

void RegisterProposer::CheckRead(Time now, bool timed_out, RegisterOutput* output) {
  if (answers_.IsChosen()) {
    const AcceptedValue best = answers_.best();
    if (queue_.front().read_only) {
      recent_ = best;
      return CompleteOperation(now, Outcome::kKept, 0, *best.value, output);
    }
    const Decision decision = Decide(queue_.front(), {best.ballot, best.value, true}, ballot_);
    if (decision.kind == Decision::Kind::kEnd) {
      confirmed_group_ = best.value->group();
      recent_ = best;
      return CompleteOperation(now, decision.outcome, decision.reason, decision.value, output);
    }
    return BeginPrepare(now, output);
  }
  if (!targets_.AllAnswered() && !(timed_out && answers_.IsComplete())) return;
  queue_.front().read_only ? ScheduleReadRetry(now) : BeginPrepare(now, output);
}

// The replicas disagree: another dispatcher is probably still completing its proposal, so retry later.
void RegisterProposer::ScheduleReadRetry(Time now) {
  phase_ = Phase::kBackoff;
  timer_ = now + kReadRetryDelay + std::uniform_int_distribution<Time>(0, kReadRetryDelay)(context_->random);
}

void RegisterProposer::CheckPrepare(Time now, RegisterOutput* output) {
  if (!answers_.IsComplete()) return;
  const AcceptedValue best = answers_.best();
  confirmed_group_ = best.value->group();
  recent_ = best;
  Decision decision = Decide(queue_.front(), {best.ballot, best.value, answers_.IsChosen()}, ballot_);
  if (decision.kind == Decision::Kind::kEnd) {
    return CompleteOperation(now, decision.outcome, decision.reason, decision.value, output);
  }
  BeginAccept(now, std::move(decision), output);
}

void RegisterProposer::CheckAccept(Time now, RegisterOutput* output) {
  const VotePredicate accepted = [this](const std::string& id) {
    return targets_.Has(id, Targets::State::kAnswered);
  };
  if (!IsQuorum(base_group_, accepted) || !IsQuorum(decision_.value.group(), accepted)) return;
  confirmed_group_ = decision_.value.group();
  if (decision_.kind == Decision::Kind::kAdvance) return BeginPrepare(now, output);
  if (context_->replica == nullptr) {
    recent_ = accept_.accepted();
  }
  const Decision decision = std::move(decision_);
  CompleteOperation(now, decision.outcome, decision.reason, decision.value, output);
}

void RegisterProposer::Tick(Time now, RegisterOutput* output) {
  ExpireOperations(now, output);
  if (phase_ == Phase::kIdle || now < timer_) return;
  if (phase_ == Phase::kBackoff)
    return queue_.front().read_only ? BeginRead(now, output) : BeginPrepare(now, output);
  if (phase_ != Phase::kRead && targets_.AnyPreempted()) return BeginBackoff(now);
  if (phase_ == Phase::kRead && answers_.IsComplete()) return CheckRead(now, /*timed_out=*/true, output);
  Resend(now, output);
}

void RegisterProposer::ExpireOperations(Time now, RegisterOutput* output) {
  std::deque<Operation> waiting;
  for (std::size_t i = phase_ == Phase::kIdle ? 0 : 1; i < queue_.size(); ++i) {
    if (queue_[i].deadline > now) {
      waiting.push_back(std::move(queue_[i]));
    } else {
      output->completions.push_back({queue_[i].id, Outcome::kNotProposed, 0, {}, KnownGroup()});
    }
  }
  queue_.resize(phase_ == Phase::kIdle ? 0 : 1);
  std::move(waiting.begin(), waiting.end(), std::back_inserter(queue_));
  if (phase_ != Phase::kIdle && queue_.front().deadline <= now) {
    const bool sent = !queue_.front().sent.empty();
    messages::RegisterValue nothing;
    *nothing.mutable_group() = KnownGroup();
    CompleteOperation(now, sent ? Outcome::kUnknown : Outcome::kNotProposed, 0, nothing, output);
  }
}

void RegisterProposer::CompleteOperation(Time now, Outcome outcome, int reason,
                                         const messages::RegisterValue& value, RegisterOutput* output) {
  output->completions.push_back({queue_.front().id, outcome, reason, value.payload(), value.group()});
  queue_.pop_front();
  known_ = {};
  answers_ = Answers(empty_value_);
  decision_ = {};
  if (context_->replica != nullptr) recent_ = {};
  BeginNext(now, output);
}

std::optional<Time> RegisterProposer::NextTimer() const {
  if (phase_ == Phase::kIdle) return std::nullopt;
  Time next = timer_;
  for (const auto& operation : queue_) next = std::min(next, operation.deadline);
  return next;
}

void RegisterProposer::SetTimer(Time now) {
  Time wait = context_->retry_after << std::min(resends_, kResendDoublings);
  if (phase_ == Phase::kAccept) wait += AcceptTransferTime();
  timer_ = now + wait + std::uniform_int_distribution<Time>(0, wait / 4)(context_->random);
}

// Estimated time to send the Accept over a slow link to all replicas that have not answered. Resending
// earlier would only lengthen the send queue.
Time RegisterProposer::AcceptTransferTime() const {
  std::size_t bytes = 0;
  for (const std::size_t index : targets_.Unanswered())
    bytes += accept_.PayloadBytesFor(targets_.at(index).replica.replica_id());
  return SlowLinkTransferTime(bytes);
}

// Estimates how long another proposer needs to get a value of the current size accepted if it must send it
// in full to a quorum. It usually sends a delta and finishes earlier, so the estimate is bounded.
Time RegisterProposer::EstimateCompetingRound() const {
  const AcceptedValue held = LastKnownValue();
  if (held.value == nullptr) return 0;
  const std::size_t members = AllMembers(held.value->group()).size();
  return std::min(SlowLinkTransferTime(held.value->payload().size() * members) / 2, kMaxEstimatedRoundTime);
}

void RegisterProposer::ObserveRound(const messages::Ballot& ballot) {
  if (ballot.round() <= last_round_ || ballot.round() - last_round_ > kMaxRoundStep) return;
  last_round_ = ballot.round();
}

AcceptedValue RegisterProposer::LastKnownValue() const {
  if (context_->replica == nullptr) return recent_;
  const AcceptedValue* accepted = context_->replica->Accepted(register_name_);
  return accepted != nullptr ? *accepted : AcceptedValue{};
}

void RegisterProposer::LearnGroup(const messages::ReplicaGroup& group) {
  if (group.version() > hinted_group_.version() && IsValidGroup(group)) hinted_group_ = group;
}

const messages::ReplicaGroup& RegisterProposer::KnownGroup() const {
  const messages::ReplicaGroup* newest = &confirmed_group_;
  if (hinted_group_.version() > newest->version()) newest = &hinted_group_;
  const AcceptedValue* accepted =
      context_->replica != nullptr ? context_->replica->Accepted(register_name_) : nullptr;
  if (accepted != nullptr && accepted->value->group().version() > newest->version()) {
    newest = &accepted->value->group();
  }
  return *newest;
}

}  // namespace lichenlug::consensus
