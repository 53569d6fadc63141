// Leases in a register: one holder at a time and per epoch, and no new turn within a lease.
#include "duties/ownership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "duties/agreed_order.h"
#include "ownership_checks.h"
#include "ownership_simulation.h"

namespace lichenlug::duties {
namespace {

std::size_t FirstInOrder(const OwnershipSimulation& testbed, const std::vector<std::size_t>& live) {
  std::vector<Member> members;
  for (const std::size_t i : live) {
    Member member;
    member.name = testbed.Name(i);
    members.push_back(member);
  }
  const std::string first = AgreedOrder("duties/0", members).front().name;
  for (const std::size_t i : live)
    if (testbed.Name(i) == first) return i;
  return 0;
}

}  // namespace

TEST_CASE("the agreed order prefers members with a store and does not depend on the input order") {
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    Member member;
    member.name = "dispatcher-" + std::to_string(i);
    if (i < 3) member.replica_id = "replica-" + std::to_string(i);
    members.push_back(member);
  }
  const auto order = AgreedOrder("duties/1", members);
  CHECK(order.size() == 3);
  std::reverse(members.begin(), members.end());
  CHECK(AgreedOrder("duties/1", members) == order);
  for (Member& member : members) member.replica_id.clear();
  CHECK(AgreedOrder("duties/1", members).size() == 6);
  std::set<std::string> firsts;
  for (int shard = 0; shard < 64; ++shard)
    firsts.insert(AgreedOrder("duties/" + std::to_string(shard), members).front().name);
  CHECK(firsts.size() == 6);
}

TEST_CASE("the first in the order soon takes a duty that was never held, and keeps it") {
  OwnershipSimulation testbed(5, 1);
  testbed.RunFor(kSecond / 2);
  const std::size_t first = FirstInOrder(testbed, {0, 1, 2, 3, 4});
  REQUIRE(testbed.Holder() == first);
  CHECK(testbed.nodes[first].ownership->epoch() == 1);
  testbed.operations = 0;
  for (int i = 0; i < 600; ++i) {
    testbed.RunFor(kSecond / 10);
    REQUIRE(testbed.Holder() == first);
  }
  CHECK(testbed.operations <= 60 + 25);  // a renewal per second, and occasional reads by the next candidate
  CHECK(testbed.nodes[first].ownership->epoch() == 1);
}

TEST_CASE("only members with a store hold duties, where there are any") {
  OwnershipSimulation testbed(5, 1);
  testbed.stores = 1;
  testbed.UpdateMembers();
  testbed.RunFor(5 * kSecond);
  CHECK(testbed.Holder() == std::size_t{0});
}

TEST_CASE("a holder that failed is replaced after its lease, and does not take the duty back") {
  OwnershipSimulation testbed(3, 2);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  const Time killed_at = testbed.now;
  testbed.Kill(first);
  testbed.UpdateMembers();
  while (!testbed.Holder() && testbed.now < killed_at + 20 * kSecond) testbed.RunFor(10 * kMillisecond);
  REQUIRE(testbed.Holder());
  const std::size_t second = *testbed.Holder();
  CHECK(testbed.now - killed_at >= OwnershipSimulation::kLease - kSecond);
  CHECK(testbed.now - killed_at <= OwnershipSimulation::kLease + 2 * kSecond);
  CHECK(testbed.nodes[second].ownership->epoch() == 2);
  testbed.Start(first);
  testbed.UpdateMembers();
  testbed.RunFor(30 * kSecond);
  CHECK(testbed.Holder() == second);
  CheckActions(testbed.actions);
}

TEST_CASE("a holder is replaced a lease after its last renewal, however late its failure is detected") {
  constexpr Time kDetectedAfter = 2300 * kMillisecond;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    OwnershipSimulation testbed(3, seed);
    testbed.RunFor(10 * kSecond + testbed.Random(kSecond));
    const Time killed_at = testbed.now;
    testbed.Kill(testbed.Holder().value());
    testbed.RunFor(kDetectedAfter);
    testbed.UpdateMembers();
    while (!testbed.Holder() && testbed.now < killed_at + 20 * kSecond) testbed.RunFor(10 * kMillisecond);
    INFO("seed " << seed);
    CHECK(testbed.now - killed_at <= OwnershipSimulation::kLease + 600 * kMillisecond);
    CheckActions(testbed.actions);
  }
}

TEST_CASE("a renewal that a minority accepted is not mistaken for one that was chosen later") {
  OwnershipSimulation testbed(2, 3);
  testbed.RunFor(10 * kSecond);
  const std::size_t owner = testbed.Holder().value(), other = 1 - owner;
  std::optional<consensus::ChangeFunction> renewal;
  OwnershipOutput output;
  while (output.operations.empty()) {  // its next renewal, which is not chosen
    testbed.now += 10 * kMillisecond;
    testbed.nodes[owner].ownership->Tick(testbed.LocalTime(owner), &output);
  }
  const auto unchosen = std::get<consensus::NewPayload>(output.operations[0].change(testbed.payload)).payload;
  testbed.nodes[other].ownership->Accepting(testbed.LocalTime(other), *ReadState(unchosen));
  testbed.now = output.operations[0].deadline;
  OwnershipOutput again;
  testbed.nodes[owner].ownership->Completed(testbed.LocalTime(owner), output.operations[0].tag, {}, &again);
  while (again.operations.empty()) {
    testbed.now += 10 * kMillisecond;
    testbed.nodes[owner].ownership->Tick(testbed.LocalTime(owner), &again);
  }
  const auto chosen = std::get<consensus::NewPayload>(again.operations[0].change(testbed.payload)).payload;
  CHECK(RenewalOf(*ReadState(unchosen)) != RenewalOf(*ReadState(chosen)));
}

TEST_CASE("a holder that was paused finds its lease expired before it acts") {
  OwnershipSimulation testbed(3, 3);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.Freeze(first);
  testbed.RunFor(2 * kSecond);
  testbed.UpdateMembers();
  testbed.RunFor(6 * kSecond);
  REQUIRE(testbed.Holder());
  testbed.nodes[first].is_frozen = false;
  CHECK_FALSE(testbed.Holds(first));
  testbed.nodes[first].is_frozen = true;
  testbed.Thaw(first);
  testbed.UpdateMembers();
  testbed.RunFor(20 * kSecond);
  CheckActions(testbed.actions);
}

TEST_CASE("calls of a holder that is partitioned off are sent before another holder acts") {
  std::size_t turns = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    OwnershipSimulation testbed(3, seed);
    for (auto& node : testbed.nodes)
      node.clock_rate = 0.99 + static_cast<double>(testbed.Random(200)) / 10000;
    for (std::size_t i = 0; i < testbed.nodes.size(); ++i) testbed.Start(i);
    testbed.is_faulty = true;
    for (int turn = 0; turn < 4; ++turn) {
      testbed.UpdateMembers();
      testbed.RunFor(10 * kSecond + testbed.Random(kSecond));
      const std::optional<std::size_t> holder = testbed.Holder();
      if (!holder) continue;
      testbed.nodes[*holder].is_cut_off = true;
      testbed.nodes[*holder].is_suspected = true;
      testbed.UpdateMembers();
      testbed.RunFor(10 * kSecond);
      testbed.nodes[*holder].is_cut_off = false;
      testbed.nodes[*holder].is_suspected = false;
    }
    for (std::size_t k = 1; k < testbed.actions.size(); ++k) {
      const auto& before = testbed.actions[k - 1];
      const auto& action = testbed.actions[k];
      if (action.node == before.node) continue;
      ++turns;
      REQUIRE(action.at > before.call_deadline);
    }
  }
  CHECK(turns > 80);
}

TEST_CASE("a holder that resigns is replaced at once, and after a restart waits for a whole lease") {
  OwnershipSimulation testbed(2, 4);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.Resign(first);
  CHECK_FALSE(testbed.Holds(first));
  testbed.RunFor(200 * kMillisecond);
  testbed.Kill(first);
  testbed.UpdateMembers();
  testbed.RunFor(kSecond);
  REQUIRE(testbed.Holder() == 1 - first);
  testbed.Start(first);
  testbed.UpdateMembers();
  testbed.Resign(1 - first);
  testbed.RunFor(kSecond);
  testbed.Kill(1 - first);
  testbed.UpdateMembers();
  testbed.RunFor(10 * kSecond);
  CHECK(testbed.Holder() == first);
  CheckActions(testbed.actions);
}

// A draining holder stays a live member for seconds, and would still be first by its hash.
TEST_CASE("a duty released by a draining holder is taken by the next candidate at once") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    OwnershipSimulation testbed(3, seed);
    testbed.RunFor(10 * kSecond);
    const std::size_t first = testbed.Holder().value();
    testbed.nodes[first].is_ready = false;
    testbed.Resign(first);
    testbed.UpdateMembers();
    testbed.RunFor(1500 * kMillisecond);
    REQUIRE(testbed.Holder());
    CHECK(*testbed.Holder() != first);
    CheckActions(testbed.actions);
  }
}

TEST_CASE("a draining candidate does not delay the others when a holder fails") {
  OwnershipSimulation testbed(3, 5);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  const std::size_t second = (first + 1) % 3, third = (first + 2) % 3;
  for (const std::size_t drains : {second, third}) {
    OwnershipSimulation again(3, 5);
    again.RunFor(10 * kSecond);
    again.nodes[drains].is_ready = false;
    again.Resign(drains);
    again.Kill(first);
    again.UpdateMembers();
    again.RunFor(OwnershipSimulation::kLease + 1500 * kMillisecond);
    CHECK(again.Holder() == (drains == second ? third : second));
    CheckActions(again.actions);
  }
}

TEST_CASE("a holder that has restarted is replaced without waiting for its lease") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    OwnershipSimulation testbed(3, seed);
    testbed.RunFor(10 * kSecond);
    const std::size_t first = testbed.Holder().value();
    testbed.Kill(first);
    testbed.RunFor(500 * kMillisecond);
    testbed.Start(first);
    testbed.UpdateMembers();
    testbed.RunFor(1200 * kMillisecond);
    REQUIRE(testbed.Holder());
    CHECK(*testbed.Holder() != first);
    CheckActions(testbed.actions);
  }
}

// The holder is not the first in the order here, and the candidate before it polls rarely while it is live.
TEST_CASE("a holder that refuted a suspicion is not taken for a restarted one") {
  OwnershipSimulation testbed(3, 6);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.Kill(first);
  testbed.UpdateMembers();
  testbed.RunFor(10 * kSecond);
  const std::size_t second = testbed.Holder().value();
  testbed.Start(first);
  testbed.UpdateMembers();
  testbed.RunFor(10 * kSecond);
  REQUIRE(testbed.Holder() == second);
  testbed.refutations = 3;
  testbed.UpdateMembers();
  testbed.operations = 0;
  testbed.RunFor(20 * kSecond);
  CHECK(testbed.Holder() == second);
  CHECK(testbed.operations <= 20 + 10);
  CHECK(testbed.nodes[second].ownership->epoch() == 2);
}

TEST_CASE("a renewal is not reported as a change") {
  OwnershipSimulation testbed(3, 7);
  testbed.RunFor(10 * kSecond);
  testbed.changes_reported = 0;
  testbed.RunFor(60 * kSecond);
  CHECK(testbed.changes_reported == 0);
}

TEST_CASE("a duty that is not wanted is not taken, and a held one expires") {
  OwnershipSimulation testbed(3, 5);
  for (auto& node : testbed.nodes) node.wanted = false;
  testbed.UpdateMembers();
  testbed.RunFor(10 * kSecond);
  CHECK_FALSE(testbed.Holder());
  CHECK(testbed.operations == 0);
  for (auto& node : testbed.nodes) node.wanted = true;
  testbed.UpdateMembers();
  testbed.RunFor(5 * kSecond);
  REQUIRE(testbed.Holder());
  for (auto& node : testbed.nodes) node.wanted = false;
  testbed.UpdateMembers();
  testbed.RunFor(3 * kSecond);
  CHECK_FALSE(testbed.Holder());
}

TEST_CASE("a holder without a quorum stops in time, and is replaced although it is live") {
  OwnershipSimulation testbed(3, 6);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.nodes[first].is_cut_off = true;  // but live according to the membership
  testbed.RunFor(3 * kSecond);
  CHECK_FALSE(testbed.Holds(first));
  testbed.RunFor(12 * kSecond);
  REQUIRE(testbed.Holder());
  CHECK(testbed.Holder() != first);
  CheckActions(testbed.actions);
}

TEST_CASE("if the first candidate can't act, the second does") {
  OwnershipSimulation testbed(3, 6);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.Kill(first);
  std::vector<std::size_t> rest;
  for (std::size_t i = 0; i < 3; ++i)
    if (i != first) rest.push_back(i);
  const std::size_t next = FirstInOrder(testbed, rest);
  testbed.nodes[next].is_cut_off = true;
  testbed.UpdateMembers();
  testbed.RunFor(15 * kSecond);
  REQUIRE(testbed.Holder());
  CHECK(testbed.Holder() != next);
  CheckActions(testbed.actions);
}

TEST_CASE("a tally is chosen at once with a renewal, each window once, and the newest sixteen are kept") {
  OwnershipSimulation testbed(3, 7);
  testbed.RunFor(5 * kSecond);
  const std::size_t holder = testbed.Holder().value();
  for (std::int64_t window = 100; window < 130; ++window) {
    testbed.ChooseTally(holder, MakeTally(window, 5));
    testbed.RunFor(150 * kMillisecond);
    REQUIRE(StateOf(testbed.payload).tallies().rbegin()->window() == window);
    testbed.ChooseTally(holder, MakeTally(window, 6));
    testbed.ChooseTally(holder, MakeTally(window - 1, 6));
    testbed.RunFor(100 * kMillisecond);
  }
  const auto state = StateOf(testbed.payload);
  REQUIRE(state.tallies_size() == 16);
  for (const auto& tally : state.tallies()) CHECK(tally.counts(0).count() == 5);
  CHECK(state.tallies(0).window() == 114);
}

TEST_CASE("an unreadable payload blocks only the duty and is not overwritten") {
  OwnershipSimulation testbed(2, 8);
  testbed.payload = "\xff\xff";
  testbed.RunFor(10 * kSecond);
  CHECK_FALSE(testbed.Holder());
  CHECK(testbed.operations < 150);
  CHECK(testbed.payload == "\xff\xff");
}

TEST_CASE("a renewal that completes only after a pause counts from its start") {
  OwnershipSimulation testbed(3, 9);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.operations = 0;
  while (testbed.operations == 0) testbed.RunFor(10 * kMillisecond);  // a renewal is in progress
  testbed.Freeze(first);
  testbed.UpdateMembers();
  testbed.RunFor(10 * kSecond);
  REQUIRE(testbed.Holder());
  testbed.Thaw(first);
  CHECK_FALSE(testbed.Holds(first));
  testbed.RunFor(5 * kSecond);
  CheckActions(testbed.actions);
}

TEST_CASE("a former holder waits for a whole lease though the next one resigns at once") {
  OwnershipSimulation testbed(2, 10);
  testbed.RunFor(10 * kSecond);
  const std::size_t first = testbed.Holder().value();
  testbed.nodes[first].is_suspected = true;  // so the other polls often, and sees the last renewal soon
  testbed.UpdateMembers();
  testbed.RunFor(5 * kSecond);
  REQUIRE(testbed.Holder() == first);
  testbed.nodes[first].is_cut_off = true;
  while (testbed.Holder() != 1 - first) testbed.RunFor(10 * kMillisecond);
  testbed.nodes[first].is_cut_off = false;
  testbed.nodes[first].is_suspected = false;
  testbed.Resign(1 - first);
  testbed.RunFor(100 * kMillisecond);
  testbed.Kill(1 - first);
  testbed.UpdateMembers();
  testbed.RunFor(10 * kSecond);
  CHECK(testbed.Holder() == first);
  CheckActions(testbed.actions);
}

TEST_CASE("a takeover of unknown outcome that was chosen holds only from its first renewal on") {
  OwnershipSettings settings;
  settings.register_name = "duties/0";
  settings.self_name = "dispatcher-0";
  settings.self_incarnation = 7;
  Ownership ownership(settings);
  Time now = 1000 * kSecond;
  Member self;
  self.name = settings.self_name;
  self.incarnation = 7;
  ownership.SetMembers(now, {self}, true);
  const auto next_operation = [&] {
    OwnershipOutput output;
    while (output.operations.empty()) {
      now = std::max(now + kMillisecond, ownership.NextTimer().value());
      ownership.Tick(now, &output);
    }
    return output.operations.front();
  };
  const auto complete = [&](const RegisterOperation& operation, consensus::Outcome outcome,
                            const messages::OwnershipState& state) {
    consensus::Completion completion;
    completion.outcome = outcome;
    completion.payload = state.SerializeAsString();
    OwnershipOutput output;
    ownership.Completed(now, operation.tag, completion, &output);
    return output;
  };
  messages::OwnershipState state;  // never owned
  complete(next_operation(), consensus::Outcome::kKept, state);
  const auto unknown = complete(next_operation(), consensus::Outcome::kUnknown, {});
  CHECK_FALSE(ownership.Holds(now));
  REQUIRE(unknown.operations.empty());

  const RegisterOperation again = next_operation();
  state.set_owner(settings.self_name);
  state.set_owner_incarnation(7);
  state.set_epoch(1);
  const auto found = complete(again, consensus::Outcome::kKept, state);
  CHECK_FALSE(ownership.Holds(now));
  REQUIRE(found.operations.size() == 1);

  const Time renewed_at = now;
  const auto renewed = found.operations.front().change(state.SerializeAsString());
  REQUIRE(std::holds_alternative<consensus::NewPayload>(renewed));
  now += 300 * kMillisecond;
  complete(found.operations.front(), consensus::Outcome::kChosen,
           StateOf(std::get<consensus::NewPayload>(renewed).payload));
  CHECK(ownership.Holds(now));
  CHECK(ownership.Holds(renewed_at + 2590 * kMillisecond));
  CHECK_FALSE(ownership.Holds(renewed_at + 2600 * kMillisecond));
}

}  // namespace lichenlug::duties
