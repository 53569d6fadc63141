#include "consensus/outgoing_accept.h"

#include <memory>
#include <utility>

#include "consensus/ballot.h"
#include "consensus/group.h"
#include "delta/text_delta.h"

namespace lichenlug::consensus {

namespace {

constexpr std::size_t kMinDeltaRatio = 2;  // minimum ratio of payload size to delta size

}  // namespace

OutgoingAccept::OutgoingAccept(const std::string& register_name, const messages::Ballot& ballot,
                               const messages::RegisterValue& value, const AcceptedValue& base,
                               std::size_t min_delta_bytes)
    : accepted_{ballot, std::make_shared<messages::RegisterValue>(value),
                ValueDigest(register_name, ballot, value)} {
  if (IsNone(base.ballot) || value.payload().size() < min_delta_bytes) return;
  messages::TextDelta delta = delta::MakeDelta(base.value->payload(), value.payload());
  const bool is_short = delta.ByteSizeLong() * kMinDeltaRatio <= value.payload().size();
  if (min_delta_bytes > 0 && !is_short) return;
  base_ = base.ballot;
  delta_ = std::move(delta);
  for (const auto& member : AllMembers(base.value->group())) base_holders_.insert(member.replica_id());
}

bool OutgoingAccept::UsesDelta(const std::string& replica_id) const {
  return delta_ && base_holders_.contains(replica_id) && !full_value_replicas_.contains(replica_id);
}

messages::Accept OutgoingAccept::MessageFor(const std::string& replica_id) const {
  messages::Accept accept;
  *accept.mutable_ballot() = accepted_.ballot;
  accept.set_digest(accepted_.digest);
  if (!UsesDelta(replica_id)) {
    *accept.mutable_value() = *accepted_.value;
    return accept;
  }
  *accept.mutable_value()->mutable_group() = accepted_.value->group();
  *accept.mutable_value()->mutable_origins() = accepted_.value->origins();
  *accept.mutable_base() = base_;
  *accept.mutable_delta() = *delta_;
  return accept;
}

std::size_t OutgoingAccept::PayloadBytesFor(const std::string& replica_id) const {
  return UsesDelta(replica_id) ? delta_->ByteSizeLong() : accepted_.value->payload().size();
}

bool OutgoingAccept::HandleMissingBase(const std::string& replica_id, const messages::Ballot& ballot) {
  if (!Equal(ballot, accepted_.ballot) || !UsesDelta(replica_id)) return false;
  SendFullValueTo(replica_id);
  return true;
}

}  // namespace lichenlug::consensus
