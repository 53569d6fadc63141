// The decision on a found value, for each kind of change and of earlier attempt.
#include "consensus/decision.h"

#include <catch2/catch.hpp>

#include "consensus/ballot.h"
#include "consensus/group.h"

namespace lichenlug::consensus {
namespace {

messages::Ballot At(std::uint64_t round) {
  messages::Ballot ballot;
  ballot.set_round(round);
  ballot.set_proposer("p");
  return ballot;
}

std::vector<messages::ReplicaIdentity> Members(const std::vector<std::string>& ids) {
  std::vector<messages::ReplicaIdentity> members;
  for (const auto& id : ids) members.emplace_back().set_replica_id(id);
  return members;
}

messages::RegisterValue Value(const std::string& payload, const std::vector<std::uint64_t>& origins) {
  messages::RegisterValue value;
  value.set_payload(payload);
  *value.mutable_group() = FoundingGroup(Members({"a", "b", "c"}));
  for (const auto round : origins) *value.add_origins() = At(round);
  return value;
}

FoundValue Found(std::uint64_t round, const messages::RegisterValue& value, bool chosen) {
  return {At(round), std::make_shared<messages::RegisterValue>(value), chosen};
}

Operation Appends(std::vector<messages::Ballot> sent = {}) {
  return {1, [](const std::string& payload) -> Change { return NewPayload{payload + "x"}; }, 0, sent};
}
Operation Reads(std::vector<messages::Ballot> sent = {}) {
  return {1, [](const std::string&) -> Change { return KeepPayload{7}; }, 0, sent};
}
Operation Moves(const std::vector<std::string>& ids, std::uint64_t if_version = 0) {
  const NewGroup group{Members(ids), if_version};
  return {1, [group](const std::string&) -> Change { return group; }, 0, {}};
}

TEST_CASE("a change is based on the value found, whether chosen or not") {
  for (const bool chosen : {false, true}) {
    const auto decision = Decide(Appends(), Found(4, Value("ab", {4, 2}), chosen), At(9));
    CHECK(decision.kind == Decision::Kind::kWrite);
    CHECK(decision.outcome == Outcome::kChosen);
    CHECK(decision.carries_change);
    CHECK(decision.value.payload() == "abx");
    REQUIRE(decision.value.origins_size() == 3);
    CHECK(Equal(decision.value.origins(0), At(9)));
    CHECK(Equal(decision.value.origins(2), At(2)));
  }
}

TEST_CASE("the number of origins is bounded") {
  std::vector<std::uint64_t> origins;
  for (std::uint64_t round = 40; origins.size() < kMaxOrigins; --round) origins.push_back(round);
  const auto decision = Decide(Appends(), Found(40, Value("", origins), true), At(50));
  REQUIRE(decision.value.origins_size() == kMaxOrigins);
  CHECK(Equal(decision.value.origins(0), At(50)));
}

TEST_CASE("a kept payload is returned immediately if it is chosen, otherwise it is written back first") {
  const auto known = Decide(Reads(), Found(4, Value("ab", {4}), true), At(9));
  CHECK(known.kind == Decision::Kind::kEnd);
  CHECK(known.outcome == Outcome::kKept);
  CHECK(known.reason == 7);
  const auto unknown = Decide(Reads(), Found(4, Value("ab", {4}), false), At(9));
  CHECK(unknown.kind == Decision::Kind::kWrite);
  CHECK(unknown.outcome == Outcome::kKept);
  CHECK_FALSE(unknown.carries_change);
  CHECK(unknown.value.SerializeAsString() == Value("ab", {4}).SerializeAsString());
}

TEST_CASE("a later attempt that finds its change does not apply it again") {
  const auto chosen = Decide(Appends({At(3)}), Found(5, Value("axb", {5, 3, 1}), true), At(9));
  CHECK(chosen.kind == Decision::Kind::kEnd);
  CHECK(chosen.outcome == Outcome::kChosen);
  CHECK(chosen.value.payload() == "axb");
  const auto accepted = Decide(Appends({At(3)}), Found(3, Value("ax", {3, 1}), false), At(9));
  CHECK(accepted.kind == Decision::Kind::kWrite);
  CHECK(accepted.outcome == Outcome::kChosen);
  CHECK(accepted.value.payload() == "ax");
}

TEST_CASE("a later attempt that can't determine whether its change was applied ends as unknown") {
  std::vector<std::uint64_t> origins;
  for (std::uint64_t round = 40; origins.size() < kMaxOrigins; round -= 2) origins.push_back(round);
  const auto found = Found(40, Value("abc", origins), true);
  const auto unclear = Decide(Appends({At(3)}), found, At(50));
  CHECK(unclear.kind == Decision::Kind::kEnd);
  CHECK(unclear.outcome == Outcome::kUnknown);
  const auto clear = Decide(Appends({At(31)}), found, At(50));  // would be among the origins
  CHECK(clear.value.payload() == "abcx");
}

TEST_CASE("a chosen value below the ballot of an own proposal that was not found is written back first") {
  const auto lower = Decide(Reads({At(6)}), Found(4, Value("ab", {4}), true), At(9));
  CHECK(lower.kind == Decision::Kind::kWrite);
  CHECK_FALSE(lower.carries_change);
  const auto higher = Decide(Reads({At(6)}), Found(7, Value("ab", {7, 4}), true), At(9));
  CHECK(higher.kind == Decision::Kind::kEnd);
}

TEST_CASE("a group change goes through a joint group that is chosen first") {
  const auto joint = Decide(Moves({"b", "c", "d"}), Found(4, Value("ab", {4}), true), At(9));
  CHECK(joint.kind == Decision::Kind::kAdvance);
  CHECK(joint.carries_change);
  CHECK(IsJoint(joint.value.group()));
  CHECK(joint.value.payload() == "ab");

  const auto unknown = Decide(Appends(), Found(9, joint.value, false), At(11));
  CHECK(unknown.kind == Decision::Kind::kAdvance);
  CHECK_FALSE(unknown.carries_change);
  CHECK(unknown.value.SerializeAsString() == joint.value.SerializeAsString());

  const auto final_group = Decide(Appends(), Found(9, joint.value, true), At(11));
  CHECK(final_group.kind == Decision::Kind::kAdvance);
  CHECK_FALSE(final_group.carries_change);
  CHECK(final_group.value.payload() == "ab");
  CHECK(ConsistsOf(final_group.value.group(), Members({"b", "c", "d"})));
  CHECK(Equal(final_group.value.origins(0), At(11)));
}

TEST_CASE("group changes that are not carried out") {
  const auto found = Found(4, Value("ab", {4}), true);
  CHECK(Decide(Moves({"c", "b", "a"}), found, At(9)).outcome == Outcome::kChosen);
  CHECK(Decide(Moves({"c", "b", "a"}), found, At(9)).kind == Decision::Kind::kEnd);
  CHECK(Decide(Moves({"d"}, 3), found, At(9)).reason == kGroupMoved);
  CHECK(Decide(Moves({"d"}, 1), found, At(9)).kind == Decision::Kind::kAdvance);
  CHECK(Decide(Moves({}), found, At(9)).reason == kGroupInvalid);
  CHECK(Decide(Moves({"d", "d"}), found, At(9)).reason == kGroupInvalid);
}

TEST_CASE("operations that propose nothing are recognized in advance") {
  CHECK(OnlyReads(Reads(), Value("a", {})));
  CHECK_FALSE(OnlyReads(Appends(), Value("a", {})));
  CHECK(OnlyReads(Moves({"a", "b", "c"}), Value("a", {})));
  CHECK_FALSE(OnlyReads(Moves({"a", "b", "d"}), Value("a", {})));
  auto joint = Value("a", {});
  *joint.mutable_group() = JointGroup(joint.group(), Members({"d"}));
  CHECK_FALSE(OnlyReads(Reads(), joint));
  CHECK_FALSE(OnlyReads(Reads({At(1)}), Value("a", {})));
}

}  // namespace
}  // namespace lichenlug::consensus
