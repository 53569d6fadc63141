#include "consensus/scrubber.h"

#include <algorithm>

#include "consensus/answers.h"
#include "consensus/ballot.h"
#include "consensus/group.h"

namespace lichenlug::consensus {

Scrubber::Scrubber(std::string proposer, std::string replica_id, Time interval, Replica* replica)
    : proposer_(std::move(proposer)),
      replica_id_(std::move(replica_id)),
      interval_(interval),
      replica_(replica) {}

void Scrubber::Tick(Time now, std::uint64_t* last_request, std::mt19937_64* random, RegisterOutput* output) {
  if (interval_ <= 0 || now < next_) return;
  const bool first = next_ == 0;
  next_ = now + interval_ + std::uniform_int_distribution<Time>(0, interval_ / 4)(*random);
  const auto names = replica_->RegisterNames();
  if (first || names.empty()) return;
  const auto next = std::upper_bound(names.begin(), names.end(), last_register_);
  last_register_ = next != names.end() ? *next : names.front();
  SendRead(last_register_, last_request, random, output);
}

void Scrubber::SendRead(const std::string& register_name, std::uint64_t* last_request,
                        std::mt19937_64* random, RegisterOutput* output) {
  const AcceptedValue& local = *replica_->Accepted(register_name);
  auto members = AllMembers(local.value->group());
  std::erase_if(members, [this](const auto& member) { return member.replica_id() == replica_id_; });
  if (members.empty()) return;
  compared_replica_ = members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(*random)];
  compared_register_ = register_name;
  request_ = ++*last_request;
  RegisterSend send{compared_replica_.address(), {}};
  send.message.set_register_name(register_name);
  send.message.set_replica_id(compared_replica_.replica_id());
  send.message.set_operation(request_);
  auto* read = send.message.mutable_read();
  read->mutable_ballot()->set_round(request_);
  read->mutable_ballot()->set_proposer(proposer_);
  *read->mutable_known() = local.ballot;
  output->sends.push_back(std::move(send));
}

bool Scrubber::Receive(const std::string& from_address, const messages::RegisterMessage& message,
                       RegisterOutput* output) {
  if (request_ == 0 || message.operation() != request_ || !message.has_read_reply()) return false;
  const auto& reply = message.read_reply();
  if (from_address != compared_replica_.address() || message.replica_id() != compared_replica_.replica_id() ||
      message.register_name() != compared_register_ || reply.ballot().round() != request_ ||
      reply.ballot().proposer() != proposer_) {
    return false;
  }
  request_ = 0;
  const AcceptedValue* local = replica_->Accepted(compared_register_);
  const auto other = ExtractAccepted(compared_register_, reply, *local);
  if (!other) return true;
  if (Less(local->ballot, other->ballot)) {
    replica_->CatchUp(compared_register_, *other, output);
  } else if (Less(other->ballot, local->ballot)) {
    RegisterSend send{from_address, {}};
    send.message.set_register_name(compared_register_);
    send.message.set_replica_id(compared_replica_.replica_id());
    auto* accept = send.message.mutable_accept();
    *accept->mutable_ballot() = local->ballot;
    *accept->mutable_value() = *local->value;
    accept->set_digest(local->digest);
    output->sends.push_back(std::move(send));
  }
  return true;
}

std::optional<Time> Scrubber::NextTimer() const {
  return interval_ > 0 ? std::optional<Time>(next_) : std::nullopt;
}

}  // namespace lichenlug::consensus
