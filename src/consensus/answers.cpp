#include "consensus/answers.h"

#include "consensus/ballot.h"
#include "consensus/group.h"

namespace lichenlug::consensus {
namespace {

std::optional<AcceptedValue> ParseAccepted(const std::string& register_name, const auto& answer,
                                           const AcceptedValue& known) {
  if (IsNone(answer.accepted())) {
    const bool is_whole =
        !answer.has_value() && answer.digest() == 0 && answer.claim() == ClaimDigest(register_name, {}, 0);
    return is_whole ? std::optional(AcceptedValue{}) : std::nullopt;
  }
  if (!answer.has_value()) {
    const bool fits =
        known.value != nullptr && Equal(answer.accepted(), known.ballot) && answer.digest() == known.digest;
    return fits ? std::optional(known) : std::nullopt;
  }
  if (answer.digest() != ValueDigest(register_name, answer.accepted(), answer.value())) return std::nullopt;
  if (!IsValidGroup(answer.value().group())) return std::nullopt;
  return AcceptedValue{answer.accepted(), std::make_shared<messages::RegisterValue>(answer.value()),
                       answer.digest()};
}

}  // namespace

void Answers::Add(const std::string& replica_id, const AcceptedValue& accepted) {
  accepted_[replica_id] = accepted.ballot;
  if (accepted.value != nullptr && Less(best_.ballot, accepted.ballot)) best_ = accepted;
}

bool Answers::HasDifferentValue(const std::string& replica_id) const {
  const auto found = accepted_.find(replica_id);
  return found != accepted_.end() && !Equal(found->second, best_.ballot);
}

bool Answers::IsComplete() const {
  return IsQuorum(best_.value->group(), [this](const std::string& id) { return accepted_.contains(id); });
}

bool Answers::IsChosen() const {
  return IsQuorum(best_.value->group(), [this](const std::string& id) {
    const auto found = accepted_.find(id);
    return found != accepted_.end() && Equal(found->second, best_.ballot);
  });
}

std::optional<AcceptedValue> ExtractAccepted(const std::string& register_name,
                                             const messages::Promise& promise, const AcceptedValue& known) {
  return ParseAccepted(register_name, promise, known);
}

std::optional<AcceptedValue> ExtractAccepted(const std::string& register_name,
                                             const messages::ReadReply& reply, const AcceptedValue& known) {
  return ParseAccepted(register_name, reply, known);
}

}  // namespace lichenlug::consensus
