#include "consensus/register_node.h"

#include <map>
#include <random>

#include "consensus/checksum.h"
#include "consensus/group.h"
#include "consensus/register_proposer.h"
#include "consensus/replica.h"
#include "consensus/scrubber.h"

namespace lichenlug::consensus {
namespace {

constexpr std::size_t kMaxOperations = 1024;  // queued or in progress

bool IsRequest(const messages::RegisterMessage& message) {
  return message.has_prepare() || message.has_accept() || message.has_read();
}

}  // namespace

class RegisterNode::Impl {
 public:
  explicit Impl(RegisterNodeSettings settings)
      : settings_(std::move(settings)),
        replica_(settings_.replica_id),
        scrubber_(settings_.proposer, settings_.replica_id, HasStore() ? settings_.scrub_interval : 0,
                  &replica_) {
    context_.proposer = settings_.proposer;
    context_.founding = FoundingGroup(settings_.founding_group);
    context_.retry_after = settings_.retry_after;
    context_.min_delta_bytes = settings_.min_delta_bytes;
    context_.random.seed(settings_.seed);
    context_.replica = HasStore() ? &replica_ : nullptr;
  }

  bool HasStore() const { return !settings_.replica_id.empty(); }
  Replica& replica() { return replica_; }
  const Replica& replica() const { return replica_; }

  OperationId Submit(Time now, const std::string& register_name, Operation operation,
                     RegisterOutput* output) {
    const OperationId id = operation.id = ++last_operation_;
    RegisterProposer* proposer = FindProposer(register_name);
    if (proposer == nullptr || Operations() >= kMaxOperations || operation.deadline <= now) {
      output->completions.push_back({id, Outcome::kNotProposed, 0, {}, KnownGroup(register_name)});
      return id;
    }
    proposer->Submit(now, std::move(operation), output);
    return id;
  }

  void Receive(Time now, const std::string& from_address, const messages::RegisterMessage& message,
               RegisterOutput* output) {
    if (IsRequest(message)) {
      if (HasStore() && message.replica_id() == settings_.replica_id) {
        if (voting_) replica_.Receive(from_address, message, output);
      } else {
        SendWrongReplica(from_address, message, output);
      }
      return;
    }
    if (voting_ && scrubber_.Receive(from_address, message, output)) return;
    const auto found = proposers_.find(message.register_name());
    if (found != proposers_.end()) found->second.Receive(now, from_address, message, output);
  }

  void Tick(Time now, RegisterOutput* output) {
    for (auto& [name, proposer] : proposers_) proposer.Tick(now, output);
    scrubber_.Tick(now, &context_.last_request, &context_.random, output);
  }

  // Delivers the messages that this node has sent to itself, including those that result from them, and sets
  // the checksums of all others.
  void FinishSends(Time now, std::size_t first, RegisterOutput* output) {
    for (std::size_t i = first; i < output->sends.size();) {
      if (output->sends[i].address != settings_.self_address) {
        SetChecksum(&output->sends[i++].message);
        continue;
      }
      const RegisterSend self_send = std::move(output->sends[i]);
      output->sends.erase(output->sends.begin() + static_cast<std::ptrdiff_t>(i));
      const std::size_t proposal_count = output->proposals.size();
      Receive(now, self_send.address, self_send.message, output);
      output->proposals.resize(proposal_count);
    }
  }

  void ReplaceFoundingGroup(const std::vector<messages::ReplicaIdentity>& founding_group,
                            const std::string& proposer) {
    proposers_.clear();
    context_.founding = FoundingGroup(founding_group);
    context_.proposer = proposer;
  }

  void SetVoting(bool voting) { voting_ = voting; }

  std::optional<Time> NextTimer() const {
    std::optional<Time> next = scrubber_.NextTimer();
    for (const auto& [name, proposer] : proposers_) {
      const auto timer = proposer.NextTimer();
      if (timer && (!next || *timer < *next)) next = timer;
    }
    return next;
  }

  void LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group) {
    if (RegisterProposer* proposer = FindProposer(register_name)) proposer->LearnGroup(group);
  }

  messages::ReplicaGroup KnownGroup(const std::string& register_name) const {
    const auto found = proposers_.find(register_name);
    if (found != proposers_.end()) return found->second.KnownGroup();
    const AcceptedValue* accepted = replica_.Accepted(register_name);
    return accepted != nullptr ? accepted->value->group() : context_.founding;
  }

 private:
  RegisterProposer* FindProposer(const std::string& register_name) {
    const auto found = proposers_.find(register_name);
    if (found != proposers_.end()) return &found->second;
    if (register_name.empty() || proposers_.size() >= kMaxRegisters) return nullptr;
    return &proposers_.try_emplace(register_name, &context_, register_name).first->second;
  }

  std::size_t Operations() const {
    std::size_t count = 0;
    for (const auto& [name, proposer] : proposers_) count += proposer.operations();
    return count;
  }

  void SendWrongReplica(const std::string& to, const messages::RegisterMessage& message,
                        RegisterOutput* output) const {
    RegisterSend send{to, {}};
    send.message.set_register_name(message.register_name());
    send.message.set_replica_id(settings_.replica_id);
    send.message.set_operation(message.operation());
    auto* refused = send.message.mutable_refused();
    refused->set_wrong_replica(true);
    if (message.has_prepare()) *refused->mutable_ballot() = message.prepare().ballot();
    if (message.has_accept()) *refused->mutable_ballot() = message.accept().ballot();
    if (message.has_read()) *refused->mutable_ballot() = message.read().ballot();
    *refused->mutable_group() = KnownGroup(message.register_name());
    output->sends.push_back(std::move(send));
  }

  RegisterNodeSettings settings_;
  Replica replica_;
  Scrubber scrubber_;
  ProposerContext context_;
  std::map<std::string, RegisterProposer> proposers_;
  OperationId last_operation_ = 0;
  bool voting_ = true;
};

RegisterNode::RegisterNode(RegisterNodeSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

RegisterNode::~RegisterNode() = default;

bool RegisterNode::Restore(const std::vector<std::pair<std::string, std::string>>& records) {
  return impl_->replica().Restore(records);
}

OperationId RegisterNode::Submit(Time now, const std::string& register_name, ChangeFunction change,
                                 Time deadline, RegisterOutput* output) {
  Operation operation;
  operation.change = std::move(change);
  operation.deadline = deadline;
  const std::size_t first = output->sends.size();
  const OperationId id = impl_->Submit(now, register_name, std::move(operation), output);
  impl_->FinishSends(now, first, output);
  return id;
}

OperationId RegisterNode::Read(Time now, const std::string& register_name, Time deadline,
                               RegisterOutput* output) {
  Operation operation;
  operation.change = [](const std::string&) { return KeepPayload{}; };
  operation.deadline = deadline;
  operation.read_only = true;
  const std::size_t first = output->sends.size();
  const OperationId id = impl_->Submit(now, register_name, std::move(operation), output);
  impl_->FinishSends(now, first, output);
  return id;
}

void RegisterNode::Receive(Time now, const std::string& from_address,
                           const messages::RegisterMessage& message, RegisterOutput* output) {
  if (!HasRightChecksum(message)) return;
  const std::size_t first = output->sends.size();
  impl_->Receive(now, from_address, message, output);
  impl_->FinishSends(now, first, output);
}

void RegisterNode::StoreDone(Time now, std::uint64_t token, bool written, RegisterOutput* output) {
  const std::size_t first = output->sends.size();
  impl_->replica().StoreDone(token, written, output);
  impl_->FinishSends(now, first, output);
}

void RegisterNode::Tick(Time now, RegisterOutput* output) {
  const std::size_t first = output->sends.size();
  impl_->Tick(now, output);
  impl_->FinishSends(now, first, output);
}

std::optional<Time> RegisterNode::NextTimer() const { return impl_->NextTimer(); }

void RegisterNode::LearnGroup(const std::string& register_name, const messages::ReplicaGroup& group) {
  impl_->LearnGroup(register_name, group);
}

messages::ReplicaGroup RegisterNode::KnownGroup(const std::string& register_name) const {
  return impl_->KnownGroup(register_name);
}

std::optional<messages::RegisterValue> RegisterNode::LocalValue(const std::string& register_name) const {
  const AcceptedValue* accepted = impl_->replica().Accepted(register_name);
  return accepted != nullptr ? std::optional(*accepted->value) : std::nullopt;
}

void RegisterNode::ReplaceFoundingGroup(const std::vector<messages::ReplicaIdentity>& founding_group,
                                        const std::string& proposer) {
  impl_->ReplaceFoundingGroup(founding_group, proposer);
}

void RegisterNode::SetVoting(bool voting) { impl_->SetVoting(voting); }

bool RegisterNode::HoldsValues() const { return impl_->replica().HoldsValues(); }

std::vector<std::string> RegisterNode::RegisterNames() const { return impl_->replica().RegisterNames(); }

}  // namespace lichenlug::consensus
