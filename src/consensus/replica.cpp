#include "consensus/replica.h"

#include <algorithm>
#include <string_view>

#include "consensus/ballot.h"
#include "delta/text_delta.h"

namespace lichenlug::consensus {
namespace {

constexpr std::string_view kPromiseKey = "promise/";
constexpr std::string_view kAcceptedKey = "accepted/";
constexpr int kMaxPendingPromises = 16;  // per register; further Prepares are not answered
constexpr int kMaxPendingAccepts = 4;
constexpr std::size_t kMaxPayloadBytes = 64u << 20;  // of a payload that arrives as a delta

bool IsPlausible(const messages::Ballot& ballot, const messages::Ballot& promised) {
  return !IsNone(ballot) && !ballot.proposer().empty() &&
         (ballot.round() <= promised.round() || ballot.round() - promised.round() <= kMaxRoundStep);
}

// Fills in a Promise or ReadReply. The value is included only if the requester wants it and does not have it.
void DescribeAccepted(const std::string& register_name, const AcceptedValue& accepted, const auto& request,
                      auto* reply) {
  if (accepted.value == nullptr) return reply->set_claim(ClaimDigest(register_name, {}, 0));
  *reply->mutable_accepted() = accepted.ballot;
  reply->set_digest(accepted.digest);
  const bool is_held = Equal(accepted.ballot, request.known());
  if (is_held) return;
  if (request.without_value())
    reply->set_claim(ClaimDigest(register_name, accepted.ballot, accepted.digest));
  else
    *reply->mutable_value() = *accepted.value;
}

// The proposed value; null if `held` is not the base of its delta, or if the result fails the digest check.
ValuePointer ProposedValue(const std::string& register_name, const messages::Accept& accept,
                           const AcceptedValue& held) {
  auto value = std::make_shared<messages::RegisterValue>(accept.value());
  if (accept.has_base()) {
    if (held.value == nullptr || !Equal(held.ballot, accept.base())) return nullptr;
    auto payload = delta::ApplyDelta(held.value->payload(), accept.delta(), kMaxPayloadBytes);
    if (!payload) return nullptr;
    value->set_payload(std::move(*payload));
  }
  const bool is_whole = accept.digest() == ValueDigest(register_name, accept.ballot(), *value);
  return is_whole ? value : nullptr;
}

}  // namespace

bool Replica::Restore(const std::vector<std::pair<std::string, std::string>>& records) {
  for (const auto& [key, record] : records) {
    if (!RestoreRecord(key, record)) {
      slots_.clear();
      return false;
    }
  }
  return true;
}

bool Replica::RestoreRecord(const std::string& key, const std::string& record) {
  const auto raise_promise = [](Slot* slot, const messages::Ballot& ballot) {
    if (Less(slot->promised, ballot)) slot->promised = ballot;
  };
  if (key.starts_with(kPromiseKey)) {
    messages::StoredPromise stored;
    if (!stored.ParseFromString(record) || IsNone(stored.ballot())) return false;
    Slot& slot = slots_[key.substr(kPromiseKey.size())];
    slot.stored_promise = stored.ballot();
    raise_promise(&slot, stored.ballot());
  } else if (key.starts_with(kAcceptedKey)) {
    const std::string name = key.substr(kAcceptedKey.size());
    messages::StoredAccept stored;
    if (!stored.ParseFromString(record) || IsNone(stored.ballot())) return false;
    if (stored.digest() != ValueDigest(name, stored.ballot(), stored.value())) return false;
    Slot& slot = slots_[name];
    raise_promise(&slot, stored.ballot());
    slot.accepted = {stored.ballot(), std::make_shared<messages::RegisterValue>(stored.value()),
                     stored.digest()};
  }
  return true;
}

void Replica::Receive(const std::string& from_address, const messages::RegisterMessage& message,
                      RegisterOutput* output) {
  if (message.has_prepare()) OnPrepare(from_address, message, output);
  if (message.has_accept()) OnAccept(from_address, message, output);
  if (message.has_read()) OnRead(from_address, message, output);
}

void Replica::OnPrepare(const std::string& from, const messages::RegisterMessage& message,
                        RegisterOutput* output) {
  const auto& ballot = message.prepare().ballot();
  Slot* slot = FindSlot(message.register_name());
  if (slot == nullptr || !IsPlausible(ballot, slot->promised)) return;
  if (Less(ballot, slot->promised)) return Refuse(from, message, ballot, output);
  Pending pending{message.register_name(), from, message.operation(), ballot, message.prepare(), {}};
  if (Equal(ballot, slot->stored_promise)) return SendPromise(pending, *slot, output);
  if (IsPending(message.register_name(), ballot, /*accept=*/false)) return;
  if (slot->pending_promises >= kMaxPendingPromises) return;
  slot->promised = ballot;
  ++slot->pending_promises;
  messages::StoredPromise record;
  *record.mutable_ballot() = ballot;
  Write(std::string(kPromiseKey) + message.register_name(), record.SerializeAsString(), std::move(pending),
        output);
}

void Replica::OnAccept(const std::string& from, const messages::RegisterMessage& message,
                       RegisterOutput* output) {
  const auto& accept = message.accept();
  Slot* slot = FindSlot(message.register_name());
  if (slot == nullptr || !IsPlausible(accept.ballot(), slot->promised)) return;
  Pending pending{message.register_name(), from, message.operation(), accept.ballot(), {}, {}};
  const bool is_preempted = Less(accept.ballot(), slot->promised);
  if (!is_preempted && slot->accepted.value != nullptr && Equal(accept.ballot(), slot->accepted.ballot)) {
    if (slot->accepted.digest == accept.digest()) SendAccepted(pending, output);
    return;
  }
  const ValuePointer value = ProposedValue(message.register_name(), accept, slot->accepted);
  if (value != nullptr) output->proposals.push_back({message.register_name(), value});
  if (is_preempted) return Refuse(from, message, accept.ballot(), output);
  if (value == nullptr) {
    if (accept.has_base()) RefuseMissingBase(from, message, output);
    return;
  }
  pending.accepted = {accept.ballot(), value, accept.digest()};
  StoreAccept(slot, std::move(pending), output);
}

void Replica::CatchUp(const std::string& register_name, const AcceptedValue& accepted,
                      RegisterOutput* output) {
  Slot* slot = FindSlot(register_name);
  if (slot == nullptr || !IsPlausible(accepted.ballot, slot->promised)) return;
  if (Less(accepted.ballot, slot->promised)) return;
  if (slot->accepted.value != nullptr && Equal(slot->accepted.ballot, accepted.ballot)) return;
  StoreAccept(slot, {register_name, "", 0, accepted.ballot, {}, accepted}, output);
}

void Replica::StoreAccept(Slot* slot, Pending pending, RegisterOutput* output) {
  if (IsPending(pending.register_name, pending.ballot, /*accept=*/true)) return;
  if (slot->pending_accepts >= kMaxPendingAccepts) return;
  slot->promised = pending.ballot;
  ++slot->pending_accepts;
  messages::StoredAccept record;
  *record.mutable_ballot() = pending.ballot;
  *record.mutable_value() = *pending.accepted->value;
  record.set_digest(pending.accepted->digest);
  std::string key = std::string(kAcceptedKey) + pending.register_name;
  Write(std::move(key), record.SerializeAsString(), std::move(pending), output);
}

void Replica::OnRead(const std::string& from, const messages::RegisterMessage& message,
                     RegisterOutput* output) {
  const auto found = slots_.find(message.register_name());
  RegisterSend send{from, {}};
  send.message.set_register_name(message.register_name());
  send.message.set_replica_id(replica_id_);
  send.message.set_operation(message.operation());
  auto* reply = send.message.mutable_read_reply();
  *reply->mutable_ballot() = message.read().ballot();
  const AcceptedValue accepted = found != slots_.end() ? found->second.accepted : AcceptedValue{};
  DescribeAccepted(message.register_name(), accepted, message.read(), reply);
  output->sends.push_back(std::move(send));
}

void Replica::StoreDone(std::uint64_t token, bool written, RegisterOutput* output) {
  auto node = pending_.extract(token);
  if (node.empty()) return;
  Pending& pending = node.mapped();
  Slot& slot = slots_[pending.register_name];
  --(pending.accepted ? slot.pending_accepts : slot.pending_promises);
  if (!written) return;
  if (pending.accepted) {
    if (Less(slot.accepted.ballot, pending.ballot)) slot.accepted = *pending.accepted;
    if (!pending.reply_to.empty()) SendAccepted(pending, output);
  } else {
    if (Less(slot.stored_promise, pending.ballot)) slot.stored_promise = pending.ballot;
    SendPromise(pending, slot, output);
  }
}

void Replica::SendPromise(const Pending& pending, const Slot& slot, RegisterOutput* output) {
  RegisterSend send{pending.reply_to, {}};
  send.message.set_register_name(pending.register_name);
  send.message.set_replica_id(replica_id_);
  send.message.set_operation(pending.request);
  auto* promise = send.message.mutable_promise();
  *promise->mutable_ballot() = pending.ballot;
  DescribeAccepted(pending.register_name, slot.accepted, pending.prepare, promise);
  output->sends.push_back(std::move(send));
}

void Replica::SendAccepted(const Pending& pending, RegisterOutput* output) {
  RegisterSend send{pending.reply_to, {}};
  send.message.set_register_name(pending.register_name);
  send.message.set_replica_id(replica_id_);
  send.message.set_operation(pending.request);
  *send.message.mutable_accepted()->mutable_ballot() = pending.ballot;
  output->sends.push_back(std::move(send));
}

void Replica::Refuse(const std::string& from, const messages::RegisterMessage& message,
                     const messages::Ballot& ballot, RegisterOutput* output) {
  const Slot& slot = slots_[message.register_name()];
  RegisterSend send{from, {}};
  send.message.set_register_name(message.register_name());
  send.message.set_replica_id(replica_id_);
  send.message.set_operation(message.operation());
  auto* refused = send.message.mutable_refused();
  *refused->mutable_ballot() = ballot;
  *refused->mutable_promised() = slot.promised;
  if (slot.accepted.value != nullptr) *refused->mutable_group() = slot.accepted.value->group();
  output->sends.push_back(std::move(send));
}

void Replica::RefuseMissingBase(const std::string& from, const messages::RegisterMessage& message,
                                RegisterOutput* output) const {
  RegisterSend send{from, {}};
  send.message.set_register_name(message.register_name());
  send.message.set_replica_id(replica_id_);
  send.message.set_operation(message.operation());
  *send.message.mutable_refused()->mutable_ballot() = message.accept().ballot();
  send.message.mutable_refused()->set_lacks_base(true);
  output->sends.push_back(std::move(send));
}

void Replica::Write(std::string key, std::string value, Pending pending, RegisterOutput* output) {
  output->writes.push_back({++last_token_, std::move(key), std::move(value)});
  pending_.emplace(last_token_, std::move(pending));
}

Replica::Slot* Replica::FindSlot(const std::string& register_name) {
  const auto found = slots_.find(register_name);
  if (found != slots_.end()) return &found->second;
  if (register_name.empty() || slots_.size() >= kMaxRegisters) return nullptr;
  return &slots_[register_name];
}

bool Replica::IsPending(const std::string& register_name, const messages::Ballot& ballot, bool accept) const {
  for (const auto& [token, pending] : pending_) {
    if (pending.accepted.has_value() == accept && pending.register_name == register_name &&
        Equal(pending.ballot, ballot)) {
      return true;
    }
  }
  return false;
}

const AcceptedValue* Replica::Accepted(const std::string& register_name) const {
  const auto found = slots_.find(register_name);
  return found != slots_.end() && found->second.accepted.value != nullptr ? &found->second.accepted : nullptr;
}

std::uint64_t Replica::HighestRound(const std::string& register_name) const {
  const auto found = slots_.find(register_name);
  return found != slots_.end() ? found->second.promised.round() : 0;
}

std::vector<std::string> Replica::RegisterNames() const {
  std::vector<std::string> names;
  for (const auto& [name, slot] : slots_) {
    if (slot.accepted.value != nullptr) names.push_back(name);
  }
  return names;
}

bool Replica::HoldsValues() const {
  return std::any_of(slots_.begin(), slots_.end(), [](const auto& entry) {
    return entry.second.accepted.value != nullptr || entry.second.pending_accepts > 0;
  });
}

}  // namespace lichenlug::consensus
