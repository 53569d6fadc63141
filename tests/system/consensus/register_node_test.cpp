// One node at its interface: what it sends, when it writes, and when it ends an operation.
#include "consensus/register_node.h"

#include <catch2/catch.hpp>

#include "cluster.h"
#include "consensus/checksum.h"

namespace lichenlug::consensus {
namespace {

void Receive(RegisterNode* node, const std::string& from, messages::RegisterMessage message,
             RegisterOutput* output) {
  SetChecksum(&message);
  node->Receive(0, from, message, output);
}

TEST_CASE("a replica answers only when its record is stored") {
  RegisterNode node(Settings("a", {"a", "b", "c"}, true));
  messages::RegisterMessage message;
  message.set_register_name(kName);
  message.set_replica_id("store-a");
  message.set_operation(3);
  message.mutable_prepare()->mutable_ballot()->set_round(1);
  message.mutable_prepare()->mutable_ballot()->set_proposer("b#1");
  RegisterOutput prepared;
  Receive(&node, "b:7660", message, &prepared);
  CHECK(prepared.sends.empty());
  REQUIRE(prepared.writes.size() == 1);

  SECTION("stored") {
    RegisterOutput stored;
    node.StoreDone(0, prepared.writes[0].token, true, &stored);
    REQUIRE(stored.sends.size() == 1);
    CHECK(stored.sends[0].address == "b:7660");
    CHECK(stored.sends[0].message.has_promise());
    CHECK(stored.sends[0].message.operation() == 3);
    RegisterOutput again;  // a repeated Prepare is answered without a write
    Receive(&node, "b:7660", message, &again);
    CHECK(again.writes.empty());
    CHECK(again.sends.size() == 1);
  }
  SECTION("not stored") {
    RegisterOutput failed;
    node.StoreDone(0, prepared.writes[0].token, false, &failed);
    CHECK(failed.sends.empty());
    RegisterOutput again;  // a repeated Prepare is written again
    Receive(&node, "b:7660", message, &again);
    CHECK(again.sends.empty());
    CHECK(again.writes.size() == 1);
  }
  SECTION("a lower ballot is refused") {
    message.mutable_prepare()->mutable_ballot()->set_proposer("a#1");
    RegisterOutput refused;
    Receive(&node, "b:7660", message, &refused);
    REQUIRE(refused.sends.size() == 1);
    CHECK(refused.sends[0].message.refused().promised().proposer() == "b#1");
    CHECK_FALSE(refused.sends[0].message.refused().wrong_replica());
  }
}

TEST_CASE("a message for another store is refused, with the group that is known") {
  for (const bool store : {true, false}) {
    RegisterNode node(Settings("a", {"a", "b", "c"}, store));
    messages::RegisterMessage message;
    message.set_register_name(kName);
    message.set_replica_id("store-before");
    message.mutable_prepare()->mutable_ballot()->set_round(1);
    RegisterOutput output;
    Receive(&node, "b:7660", message, &output);
    REQUIRE(output.sends.size() == 1);
    CHECK(output.writes.empty());
    CHECK(output.sends[0].message.refused().wrong_replica());
    CHECK(output.sends[0].message.refused().group().members_size() == 3);
  }
}

TEST_CASE("what the store held is there again after a restart") {
  Cluster cluster({"a", "b", "c"});
  cluster.Call("a", Sets("one"));
  std::vector<std::pair<std::string, std::string>> records(cluster.records["b:7660"].begin(),
                                                           cluster.records["b:7660"].end());
  RegisterNode again(Settings("b", {"a", "b", "c"}, true));
  REQUIRE(again.Restore(records));
  CHECK(again.LocalValue(kName)->payload() == "one");
  CHECK(again.RegisterNames() == std::vector<std::string>{kName});

  for (auto& [key, record] : records) {
    RegisterNode damaged(Settings("b", {"a", "b", "c"}, true));
    const std::string whole = record;
    record.resize(record.size() - 1);
    CHECK_FALSE(damaged.Restore(records));
    CHECK(damaged.RegisterNames().empty());
    record = whole;
  }
}

TEST_CASE("a change ends as unknown once an Accept has left") {
  RegisterNode node(Settings("d", {"a"}, false));
  RegisterOutput submitted;
  const auto id = node.Submit(0, kName, Sets("one"), kSecond, &submitted);
  REQUIRE(submitted.sends.size() == 1);
  messages::RegisterMessage promise;
  promise.set_register_name(kName);
  promise.set_replica_id("store-a");
  promise.set_operation(submitted.sends[0].message.operation());
  *promise.mutable_promise()->mutable_ballot() = submitted.sends[0].message.prepare().ballot();
  RegisterOutput promised;
  Receive(&node, "a:7660", promise, &promised);
  REQUIRE(promised.sends.size() == 1);
  CHECK(promised.sends[0].message.has_accept());
  RegisterOutput ended;
  node.Tick(kSecond, &ended);
  REQUIRE(ended.completions.size() == 1);
  CHECK(ended.completions[0].operation == id);
  CHECK(ended.completions[0].outcome == Outcome::kUnknown);
}

TEST_CASE("a message that was altered on its way is dropped") {
  RegisterNode node(Settings("a", {"a", "b", "c"}, true));
  messages::RegisterMessage message;
  message.set_register_name(kName);
  message.set_replica_id("store-a");
  message.mutable_read()->mutable_ballot()->set_round(1);
  SetChecksum(&message);
  message.set_operation(4);
  RegisterOutput output;
  node.Receive(0, "b:7660", message, &output);
  CHECK(output.sends.empty());
  message.set_operation(0);
  node.Receive(0, "b:7660", message, &output);
  CHECK(output.sends.size() == 1);
}

TEST_CASE("the answer of one replica does not count under the name of another") {
  RegisterNode node(Settings("d", {"a", "b", "c"}, false));
  RegisterOutput submitted;
  node.Submit(0, kName, Reads(), kSecond, &submitted);
  REQUIRE(submitted.sends.size() == 3);
  const auto answer = [](const messages::RegisterMessage& request) {
    messages::RegisterMessage reply;
    reply.set_register_name(kName);
    reply.set_replica_id(request.replica_id());
    reply.set_operation(request.operation());
    *reply.mutable_read_reply()->mutable_ballot() = request.read().ballot();
    SetChecksum(&reply);
    return reply;
  };
  const auto first = answer(submitted.sends[0].message);
  const auto second = answer(submitted.sends[1].message);
  auto swapped = first;  // complete but for the checksum
  swapped.set_replica_id(second.replica_id());
  swapped.set_operation(second.operation());
  RegisterOutput output;
  node.Receive(0, "a:7660", first, &output);
  node.Receive(0, "b:7660", first, &output);
  node.Receive(0, "b:7660", swapped, &output);
  CHECK(output.completions.empty());
  node.Receive(0, "b:7660", second, &output);
  CHECK(output.completions.size() == 1);
}

TEST_CASE("tables are bounded") {
  RegisterNode node(Settings("d", {"a"}, false));
  RegisterOutput output;
  for (int i = 0; i < 1024; ++i) node.Submit(0, kName, Reads(), kSecond, &output);
  CHECK(output.completions.empty());
  node.Submit(0, kName, Reads(), kSecond, &output);
  REQUIRE(output.completions.size() == 1);
  CHECK(output.completions[0].outcome == Outcome::kNotProposed);

  RegisterNode other(Settings("d", {"a"}, false));
  RegisterOutput many;
  for (int i = 0; i < 65; ++i) other.Submit(0, "register-" + std::to_string(i), Reads(), kSecond, &many);
  CHECK(many.completions.size() == 1);
}

}  // namespace
}  // namespace lichenlug::consensus
