#include "consensus/founding.h"

#include <algorithm>
#include <utility>

#include "consensus/ballot.h"
#include "consensus/group.h"

namespace lichenlug::consensus {
namespace {

constexpr int kMaxSeats = 9;
constexpr std::uint64_t kMaxBallotStep = 1ull << 32;  // a larger step means a corrupt ballot

bool ContainsReplica(const auto& members, const std::string& replica_id) {
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& member) { return member.replica_id() == replica_id; });
}

bool SameMembers(const messages::ReplicaGroup& left, const messages::ReplicaGroup& right) {
  return ConsistsOf(left, {right.members().begin(), right.members().end()});
}

std::vector<std::string> Sorted(std::vector<std::string> addresses) {
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

std::vector<std::string> SortedSeatAddresses(const messages::Founding& founding) {
  std::vector<std::string> addresses;
  for (const auto& seat : founding.seats()) addresses.push_back(seat.address());
  return Sorted(std::move(addresses));
}

bool IsWellFormed(const messages::Founding& founding) {
  return !IsNone(founding.ballot()) && IsValidGroup(founding.group()) && founding.seats_size() > 0 &&
         founding.seats_size() <= kMaxSeats;
}

}  // namespace

std::string FounderIdentity(const std::string& address) { return "founder:" + address; }

messages::Founding FirstStartFounding(const std::vector<std::string>& seats) {
  std::vector<messages::ReplicaIdentity> members;
  for (const std::string& address : seats) {
    messages::ReplicaIdentity& member = members.emplace_back();
    member.set_replica_id(FounderIdentity(address));
    member.set_address(address);
  }
  messages::Founding founding;
  founding.mutable_ballot()->set_round(kFirstStartRound);
  *founding.mutable_group() = FoundingGroup(members);
  founding.mutable_seats()->Assign(members.begin(), members.end());
  return founding;
}

FoundingAgreement::FoundingAgreement(FoundingSettings settings, messages::FoundingRecord record)
    : settings_(std::move(settings)), record_(std::move(record)), next_round_(settings_.begin_at) {
  settings_.seats =
      record_.has_founding() ? SortedSeatAddresses(record_.founding()) : Sorted(settings_.seats);
  highest_round_ = std::max(highest_round_, record_.promised().round());
}

bool FoundingAgreement::IsSeat() const {
  return std::find(settings_.seats.begin(), settings_.seats.end(), settings_.self_address) !=
         settings_.seats.end();
}

void FoundingAgreement::Learn(const messages::Founding& founding, bool proven, FoundingOutput* output) {
  if (!IsWellFormed(founding)) return;
  const bool is_held = record_.has_founding() && Equal(record_.founding().ballot(), founding.ballot());
  if (record_.has_founding() && Less(founding.ballot(), record_.founding().ballot())) return;
  if (is_held) proven_ = proven_ || proven;
  if (is_held && record_.established()) return;
  if (!is_held) proven_ = proven;
  if (pending_learned_ && !Less(pending_learned_->ballot(), founding.ballot())) return;
  pending_learned_ = founding;
  WritePendingLearned(output);
}

void FoundingAgreement::WritePendingLearned(FoundingOutput* output) {
  if (!pending_learned_ || pending_write_) return;
  const bool is_older =
      record_.has_founding() && Less(pending_learned_->ballot(), record_.founding().ballot());
  if (is_older) return pending_learned_.reset();
  messages::FoundingRecord record = record_;
  *record.mutable_founding() = *pending_learned_;
  record.set_established(true);
  Write(WriteKind::kLearned, std::move(record), "", output);
}

bool FoundingAgreement::MayVoteInRegisters() const {
  return record_.established() && !(pending_write_ && pending_write_->kind == WriteKind::kVote);
}

bool FoundingAgreement::IsPlausible(const messages::Ballot& ballot) const {
  const std::uint64_t known = std::max(highest_round_, record_.promised().round());
  return !IsNone(ballot) && (ballot.round() <= known || ballot.round() - known <= kMaxBallotStep);
}

std::optional<Time> FoundingAgreement::NextTimer() const {
  if (proven_ || !IsSeat()) return pending_learned_ ? std::optional(next_round_) : std::nullopt;
  return next_round_;
}

void FoundingAgreement::Tick(Time now, bool holds_values, FoundingOutput* output) {
  const std::optional<Time> timer = NextTimer();
  if (!timer || now < *timer) return;
  next_round_ = now + settings_.round_time;
  if (pending_learned_) return WritePendingLearned(output);  // an earlier write failed
  BeginRound(now, holds_values, output);
}

// ---- Proposer --------------------------------------------------------------------------------------------

// Seats that start rounds simultaneously would preempt one another forever, so each seat's retry interval
// depends on its position in the list.
void FoundingAgreement::BeginRound(Time now, bool holds_values, FoundingOutput* output) {
  const auto self = std::find(settings_.seats.begin(), settings_.seats.end(), settings_.self_address);
  const auto position = self - settings_.seats.begin();
  next_round_ = now + settings_.round_time * (2 + position) / 2;
  answers_.clear();
  votes_.clear();
  proposed_.reset();
  ballot_.set_round(++highest_round_);
  ballot_.set_proposer(settings_.proposer);
  messages::FoundingMessage message;
  *message.mutable_prepare()->mutable_ballot() = ballot_;
  Broadcast(now, message, holds_values, output);
}

void FoundingAgreement::OnPromise(Time now, const std::string& from, const messages::FoundingMessage& message,
                                  bool holds_values, FoundingOutput* output) {
  const auto& promise = message.promise();
  if (proposed_ || !Equal(promise.ballot(), ballot_)) return;
  if (promise.has_founding() && SortedSeatAddresses(promise.founding()) != settings_.seats) {
    if (record_.has_founding()) return;
    settings_.seats = SortedSeatAddresses(promise.founding());  // an existing founding overrides the settings
    answers_.clear();
    return;
  }
  Answer& answer = answers_[from];
  answer.seat.set_replica_id(message.replica_id());
  answer.seat.set_address(from);
  answer.founding = promise.founding();
  answer.has_founding = promise.has_founding();
  answer.holds_values = promise.holds_values();
  const bool complete = std::all_of(settings_.seats.begin(), settings_.seats.end(),
                                    [&](const std::string& seat) { return answers_.contains(seat); });
  if (complete) Decide(now, holds_values, output);
}

// All seats have promised to ignore older ballots and have reported their votes.
void FoundingAgreement::Decide(Time now, bool holds_values, FoundingOutput* output) {
  const auto is_present = [&](const std::string& replica_id) {
    return std::any_of(answers_.begin(), answers_.end(),
                       [&](const auto& entry) { return entry.second.seat.replica_id() == replica_id; });
  };
  const messages::Founding* newest = nullptr;
  const messages::Founding* with_values = nullptr;
  const auto is_newer = [](const messages::Founding& founding, const messages::Founding* than) {
    return than == nullptr || Less(than->ballot(), founding.ballot());
  };
  for (const auto& [address, answer] : answers_) {
    if (!answer.has_founding) continue;
    if (is_newer(answer.founding, newest)) newest = &answer.founding;
    if (answer.holds_values && is_newer(answer.founding, with_values)) with_values = &answer.founding;
  }
  if (newest == nullptr) return Propose(now, {}, holds_values, output);

  const bool is_first_start = newest->ballot().round() <= kFirstStartRound;
  const bool all_voted =
      !is_first_start && std::all_of(answers_.begin(), answers_.end(), [&](const auto& entry) {
        const bool was_seat = ContainsReplica(newest->seats(), entry.second.seat.replica_id());
        return !was_seat ||
               (entry.second.has_founding && Equal(entry.second.founding.ballot(), newest->ballot()));
      });
  if (with_values != nullptr && !SameMembers(with_values->group(), newest->group())) {
    if (IsQuorum(with_values->group(), is_present)) Propose(now, with_values->group(), holds_values, output);
    return;
  }
  if (IsQuorum(newest->group(), is_present)) {
    if (all_voted) return Establish(now, *newest, output);
    if (is_first_start) {  // needs no votes
      output->found = *newest;
      return;
    }
    return Propose(now, with_values != nullptr ? newest->group() : messages::ReplicaGroup(), holds_values,
                   output);
  }
  // Too few of its stores are left for a quorum. Its group may have acknowledged values unless no store has
  // accepted anything and it is known that not all seats had voted or, for the first start, that at most one
  // of its stores ever voted.
  if (with_values != nullptr || all_voted) return;
  Propose(now, {}, holds_values, output);
}

// An empty group means the current stores of all seats.
void FoundingAgreement::Propose(Time now, const messages::ReplicaGroup& group, bool holds_values,
                                FoundingOutput* output) {
  std::vector<messages::ReplicaIdentity> seats;
  for (const std::string& address : settings_.seats) seats.push_back(answers_.at(address).seat);
  if (!IsValidMembership(seats)) return;
  messages::Founding founding;
  *founding.mutable_ballot() = ballot_;
  *founding.mutable_group() = group.members_size() > 0 ? group : FoundingGroup(seats);
  founding.mutable_seats()->Assign(seats.begin(), seats.end());
  proposed_ = founding;
  messages::FoundingMessage message;
  *message.mutable_propose()->mutable_founding() = std::move(founding);
  Broadcast(now, message, holds_values, output);
}

void FoundingAgreement::OnVote(Time now, const std::string& from, const messages::FoundingMessage& message,
                               FoundingOutput* output) {
  if (!proposed_ || !Equal(message.vote().ballot(), ballot_)) return;
  votes_[from] = message.replica_id();
  const messages::Founding founding = *proposed_;
  const bool all = std::all_of(founding.seats().begin(), founding.seats().end(), [&](const auto& seat) {
    const auto vote = votes_.find(seat.address());
    return vote != votes_.end() && vote->second == seat.replica_id();
  });
  if (all) Establish(now, founding, output);
}

void FoundingAgreement::Establish(Time now, const messages::Founding& founding, FoundingOutput* output) {
  messages::FoundingMessage message;
  *message.mutable_established() = founding;
  Broadcast(now, message, /*holds_values=*/false, output);
}

// ---- Acceptor --------------------------------------------------------------------------------------------

bool FoundingAgreement::IsAcceptable(const messages::FoundingMessage& message) const {
  if (message.replica_id().empty() || message.seats_size() > kMaxSeats) return false;
  // A seat with an empty store answers only senders with the same list of seats; a seat that knows a founding
  // reports it to any sender.
  return record_.has_founding() || std::equal(message.seats().begin(), message.seats().end(),
                                              settings_.seats.begin(), settings_.seats.end());
}

void FoundingAgreement::Receive(Time now, const std::string& from_address,
                                const messages::FoundingMessage& message, bool holds_values,
                                FoundingOutput* output) {
  if (message.has_established()) return OnEstablished(message.established(), output);
  if (!IsAcceptable(message)) return;
  if (message.has_prepare()) return OnPrepare(now, from_address, message, holds_values, output);
  if (message.has_promise()) return OnPromise(now, from_address, message, holds_values, output);
  if (message.has_propose()) return OnPropose(now, from_address, message, holds_values, output);
  if (message.has_vote()) return OnVote(now, from_address, message, output);
  if (message.has_refusal() && IsPlausible(message.refusal().promised()))
    highest_round_ = std::max(highest_round_, message.refusal().promised().round());
}

void FoundingAgreement::OnPrepare(Time now, const std::string& from, const messages::FoundingMessage& message,
                                  bool holds_values, FoundingOutput* output) {
  const messages::Ballot& ballot = message.prepare().ballot();
  if (!IsPlausible(ballot)) return;
  if (Less(ballot, record_.promised())) return Refuse(now, from, output);
  highest_round_ = std::max(highest_round_, ballot.round());
  if (Equal(ballot, record_.promised())) {
    messages::FoundingMessage promise;
    *promise.mutable_promise() = MakePromise(ballot, holds_values);
    return SendOrHandle(now, from, std::move(promise), holds_values, output);
  }
  messages::FoundingRecord record = record_;
  *record.mutable_promised() = ballot;
  Write(WriteKind::kPromise, std::move(record), from, output);
}

void FoundingAgreement::OnPropose(Time now, const std::string& from, const messages::FoundingMessage& message,
                                  bool holds_values, FoundingOutput* output) {
  const messages::Founding& founding = message.propose().founding();
  if (!IsWellFormed(founding) || founding.ballot().round() <= kFirstStartRound) return;
  if (!IsPlausible(founding.ballot())) return;
  if (Less(founding.ballot(), record_.promised())) return Refuse(now, from, output);
  if (!ContainsReplica(founding.seats(), settings_.replica_id)) return;
  if (record_.has_founding() && Less(founding.ballot(), record_.founding().ballot())) return;
  const bool moves = !record_.has_founding() || !SameMembers(record_.founding().group(), founding.group());
  if (moves && (holds_values || proven_)) return;
  messages::FoundingRecord record = record_;
  *record.mutable_promised() = founding.ballot();
  *record.mutable_founding() = founding;
  record.set_established(false);
  Write(WriteKind::kVote, std::move(record), from, output);
}

void FoundingAgreement::OnEstablished(const messages::Founding& founding, FoundingOutput* output) {
  if (!IsWellFormed(founding)) return;
  if (record_.has_founding() && Less(founding.ballot(), record_.founding().ballot())) return;
  output->found = founding;
  output->established = true;
}

messages::FoundingPromise FoundingAgreement::MakePromise(const messages::Ballot& ballot,
                                                         bool holds_values) const {
  messages::FoundingPromise promise;
  *promise.mutable_ballot() = ballot;
  if (record_.has_founding()) *promise.mutable_founding() = record_.founding();
  promise.set_holds_values(holds_values);
  return promise;
}

void FoundingAgreement::Refuse(Time now, const std::string& to, FoundingOutput* output) {
  messages::FoundingMessage message;
  *message.mutable_refusal()->mutable_promised() = record_.promised();
  SendOrHandle(now, to, std::move(message), /*holds_values=*/false, output);
}

std::string FoundingAgreement::State() const {
  std::string state = record_.SerializeAsString();
  const auto add = [&](const std::string& part) {
    state += std::to_string(part.size()) + ':';
    state += part;
  };
  add(ballot_.SerializeAsString());
  add(std::to_string(highest_round_) + (proven_ ? "proven" : ""));
  for (const std::string& seat : settings_.seats) add(seat);
  for (const auto& [address, answer] : answers_) {
    add(address + answer.seat.replica_id() + (answer.holds_values ? "+" : "-"));
    add(answer.founding.SerializeAsString());
  }
  add(proposed_ ? proposed_->SerializeAsString() : "");
  for (const auto& [address, store] : votes_) add(address + store);
  add(pending_write_ ? pending_write_->record.SerializeAsString() : "");
  add(pending_learned_ ? pending_learned_->SerializeAsString() : "");
  return state;
}

// ---- Disk and messages -----------------------------------------------------------------------------------

// Requests that arrive while a record is being written are not answered; the sender retries.
void FoundingAgreement::Write(WriteKind kind, messages::FoundingRecord record, const std::string& reply_to,
                              FoundingOutput* output) {
  if (pending_write_) return;
  output->writes.push_back({++last_token_, record});
  pending_write_ = PendingWrite{last_token_, kind, reply_to, std::move(record)};
}

void FoundingAgreement::StoreDone(Time now, std::uint64_t token, bool written, bool holds_values,
                                  FoundingOutput* output) {
  if (!pending_write_ || pending_write_->token != token) return;
  const PendingWrite done = *std::exchange(pending_write_, std::nullopt);
  if (!written) return;
  record_ = done.record;
  if (done.kind == WriteKind::kLearned) {
    settings_.seats = SortedSeatAddresses(record_.founding());
    if (pending_learned_ && !Less(record_.founding().ballot(), pending_learned_->ballot()))
      pending_learned_.reset();
    return WritePendingLearned(output);
  }
  messages::FoundingMessage message;
  if (done.kind == WriteKind::kVote)
    *message.mutable_vote()->mutable_ballot() = record_.founding().ballot();
  else
    *message.mutable_promise() = MakePromise(record_.promised(), holds_values);
  SendOrHandle(now, done.reply_to, std::move(message), holds_values, output);
  WritePendingLearned(output);
}

void FoundingAgreement::Broadcast(Time now, const messages::FoundingMessage& message, bool holds_values,
                                  FoundingOutput* output) {
  const std::vector<std::string> seats = settings_.seats;  // copied: an answer may replace them
  for (const std::string& seat : seats) SendOrHandle(now, seat, message, holds_values, output);
}

// Messages to this seat itself are handled directly.
void FoundingAgreement::SendOrHandle(Time now, const std::string& address, messages::FoundingMessage message,
                                     bool holds_values, FoundingOutput* output) {
  message.set_replica_id(settings_.replica_id);
  message.mutable_seats()->Assign(settings_.seats.begin(), settings_.seats.end());
  if (address == settings_.self_address) return Receive(now, address, message, holds_values, output);
  output->sends.push_back({address, std::move(message)});
}

}  // namespace lichenlug::consensus
