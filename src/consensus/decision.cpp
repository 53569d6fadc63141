#include "consensus/decision.h"

#include <algorithm>

#include "consensus/ballot.h"
#include "consensus/group.h"

namespace lichenlug::consensus {
namespace {

enum class Lineage { kAbsent, kContained, kUnclear };

// Whether one of this operation's proposals is the value or one of its predecessors.
Lineage FindInLineage(const std::vector<messages::Ballot>& sent, const messages::RegisterValue& value) {
  if (sent.empty()) return Lineage::kAbsent;
  for (const auto& origin : value.origins()) {
    const auto same = [&](const messages::Ballot& ballot) { return Equal(ballot, origin); };
    if (std::any_of(sent.begin(), sent.end(), same)) return Lineage::kContained;
  }
  const bool whole = value.origins_size() < kMaxOrigins;
  // Origins descend, so an older proposal would come after the last origin that was kept.
  return whole || Less(value.origins(value.origins_size() - 1), sent.front()) ? Lineage::kAbsent
                                                                              : Lineage::kUnclear;
}

messages::RegisterValue Successor(const messages::RegisterValue& value, const messages::Ballot& ballot) {
  messages::RegisterValue next;
  *next.mutable_group() = value.group();
  *next.add_origins() = ballot;
  for (const auto& origin : value.origins()) {
    if (next.origins_size() < kMaxOrigins) *next.add_origins() = origin;
  }
  return next;
}

// Ends the operation with `outcome` once the found value is known to be chosen: immediately, or after a
// write-back.
Decision EndWithFound(const FoundValue& found, bool known_chosen, Outcome outcome, int reason) {
  Decision decision;
  decision.kind = known_chosen ? Decision::Kind::kEnd : Decision::Kind::kWrite;
  decision.outcome = outcome;
  decision.reason = reason;
  decision.value = *found.value;
  return decision;
}

// A joint group must be chosen before it is replaced by its next members.
Decision AdvanceGroup(const FoundValue& found, bool contains_change, const messages::Ballot& ballot) {
  Decision decision;
  decision.kind = Decision::Kind::kAdvance;
  decision.value = *found.value;
  if (found.chosen) {
    decision.value = Successor(*found.value, ballot);
    decision.value.set_payload(found.value->payload());
    *decision.value.mutable_group() = FinalGroup(found.value->group());
    decision.carries_change = contains_change;
  }
  return decision;
}

Decision ProposePayload(const FoundValue& found, const std::string& payload, const messages::Ballot& ballot) {
  Decision decision;
  decision.kind = Decision::Kind::kWrite;
  decision.outcome = Outcome::kChosen;
  decision.value = Successor(*found.value, ballot);
  decision.value.set_payload(payload);
  decision.carries_change = true;
  return decision;
}

Decision ProposeGroup(const FoundValue& found, bool known_chosen, const NewGroup& change,
                      const messages::Ballot& ballot) {
  const auto& group = found.value->group();
  if (!IsValidMembership(change.members))
    return EndWithFound(found, known_chosen, Outcome::kKept, kGroupInvalid);
  if (ConsistsOf(group, change.members)) return EndWithFound(found, known_chosen, Outcome::kChosen, 0);
  if (change.if_version != 0 && change.if_version != group.version()) {
    return EndWithFound(found, known_chosen, Outcome::kKept, kGroupMoved);
  }
  Decision decision;
  decision.kind = Decision::Kind::kAdvance;
  decision.value = Successor(*found.value, ballot);
  decision.value.set_payload(found.value->payload());
  *decision.value.mutable_group() = JointGroup(group, change.members);
  decision.carries_change = true;
  return decision;
}

}  // namespace

Decision Decide(const Operation& operation, const FoundValue& found, const messages::Ballot& ballot) {
  const Lineage lineage = FindInLineage(operation.sent, *found.value);
  if (lineage == Lineage::kUnclear) return {};
  const bool contained = lineage == Lineage::kContained;
  if (IsJoint(found.value->group())) return AdvanceGroup(found, contained, ballot);
  if (contained) return EndWithFound(found, found.chosen, Outcome::kChosen, 0);

  // A proposal of this operation that was not found may still be chosen, unless a value at a higher ballot
  // is chosen without it.
  const bool known_chosen =
      found.chosen && (operation.sent.empty() || Less(operation.sent.back(), found.ballot));
  const Change change = operation.change(found.value->payload());
  if (const auto* keep = std::get_if<KeepPayload>(&change)) {
    return EndWithFound(found, known_chosen, Outcome::kKept, keep->reason);
  }
  if (const auto* group = std::get_if<NewGroup>(&change))
    return ProposeGroup(found, known_chosen, *group, ballot);
  return ProposePayload(found, std::get<NewPayload>(change).payload, ballot);
}

bool OnlyReads(const Operation& operation, const messages::RegisterValue& value) {
  if (!operation.sent.empty() || IsJoint(value.group())) return false;
  const Change change = operation.change(value.payload());
  const auto* group = std::get_if<NewGroup>(&change);
  return std::holds_alternative<KeepPayload>(change) ||
         (group != nullptr && ConsistsOf(value.group(), group->members));
}

}  // namespace lichenlug::consensus
