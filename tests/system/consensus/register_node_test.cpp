// The interface of a single node: what it sends, when it writes, and when it completes an operation.
#include "consensus/register_node.h"

#include <catch2/catch.hpp>

#include "cluster.h"
#include "consensus/checksum.h"
#include "consensus/value.h"

namespace lichenlug::consensus {
namespace {

void Receive(RegisterNode* node, const std::string& from, messages::RegisterMessage message,
             RegisterOutput* output) {
  SetChecksum(&message);
  node->Receive(0, from, message, output);
}

TEST_CASE("a replica answers only after its record is stored") {
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

TEST_CASE("a message for another store is refused, and the refusal contains the known group") {
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

TEST_CASE("stored records are restored after a restart") {
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

TEST_CASE("a change that times out after an Accept was sent ends as unknown") {
  RegisterNode node(Settings("d", {"a"}, false));
  RegisterOutput submitted;
  const auto id = node.Submit(0, kName, Sets("one"), kSecond, &submitted);
  REQUIRE(submitted.sends.size() == 1);
  messages::RegisterMessage promise;
  promise.set_register_name(kName);
  promise.set_replica_id("store-a");
  promise.set_operation(submitted.sends[0].message.operation());
  *promise.mutable_promise()->mutable_ballot() = submitted.sends[0].message.prepare().ballot();
  promise.mutable_promise()->set_claim(ClaimDigest(kName, {}, 0));
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

TEST_CASE("a message that was altered in transit is dropped") {
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

TEST_CASE("the answer of one replica does not count for another") {
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
    reply.mutable_read_reply()->set_claim(ClaimDigest(kName, {}, 0));
    SetChecksum(&reply);
    return reply;
  };
  const auto first = answer(submitted.sends[0].message);
  const auto second = answer(submitted.sends[1].message);
  auto swapped = first;  // valid except for the checksum
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

TEST_CASE("an empty Promise counts only for the requested register") {
  RegisterNode node(Settings("d", {"a"}, false));
  RegisterOutput submitted;
  node.Submit(0, kName, Sets("one"), kSecond, &submitted);
  REQUIRE(submitted.sends.size() == 1);
  messages::RegisterMessage promise;
  promise.set_register_name(kName);
  promise.set_replica_id("store-a");
  promise.set_operation(submitted.sends[0].message.operation());
  *promise.mutable_promise()->mutable_ballot() = submitted.sends[0].message.prepare().ballot();
  promise.mutable_promise()->set_claim(ClaimDigest("another register", {}, 0));
  RegisterOutput promised;
  Receive(&node, "a:7660", promise, &promised);
  CHECK(promised.sends.empty());
}

const std::string kLarge(60'000, 'c');

TEST_CASE("a change of a large value is sent as a delta to replicas that have the base") {
  Cluster cluster({"a", "b", "c"});
  REQUIRE(cluster.Call("a", Sets(kLarge)).outcome == Outcome::kChosen);
  cluster.bytes = 0;
  REQUIRE(cluster.Call("b", Sets(kLarge + "more")).outcome == Outcome::kChosen);
  CHECK(cluster.bytes < 5'000);
  for (const char* name : {"a", "b", "c"})
    CHECK(cluster.node(name).LocalValue(kName)->payload() == kLarge + "more");
}

TEST_CASE("a group change sends the value only to replicas that do not have it") {
  Cluster cluster({"a", "b", "c"});
  REQUIRE(cluster.Call("a", Sets(kLarge)).outcome == Outcome::kChosen);
  cluster.Add("d", {"a", "b", "c"}, true);
  cluster.bytes = 0;
  const auto move = [](const std::string&) -> Change {
    return NewGroup{{Identity("a"), Identity("b"), Identity("c"), Identity("d")}, 0};
  };
  REQUIRE(cluster.Call("a", move).outcome == Outcome::kChosen);
  CHECK(cluster.bytes > kLarge.size());
  CHECK(cluster.bytes < kLarge.size() + 10'000);
  REQUIRE(cluster.node("d").LocalValue(kName));
  CHECK(cluster.node("d").LocalValue(kName)->payload() == kLarge);
}

TEST_CASE("a replica that lacks the base is sent the full value, once") {
  Cluster cluster({"a", "b", "c"});
  REQUIRE(cluster.Call("a", Sets(kLarge)).outcome == Outcome::kChosen);
  cluster.down = {"c:7660"};
  REQUIRE(cluster.Call("a", Sets(kLarge + "second")).outcome == Outcome::kChosen);
  cluster.down.clear();
  cluster.bytes = 0;
  REQUIRE(cluster.Call("a", Sets(kLarge + "third")).outcome == Outcome::kChosen);
  REQUIRE(cluster.node("c").LocalValue(kName));
  CHECK(cluster.node("c").LocalValue(kName)->payload() == kLarge + "third");
  CHECK(cluster.bytes < kLarge.size() + 10'000);
}

TEST_CASE("a delta with an unknown base or a different result is not accepted") {
  Cluster cluster({"a", "b", "c"});
  REQUIRE(cluster.Call("a", Sets(kLarge)).outcome == Outcome::kChosen);
  RegisterOutput submitted;
  cluster.node("b").Submit(cluster.now, kName, Sets(kLarge + "x"), cluster.now + kSecond, &submitted);
  std::vector<messages::RegisterMessage> accepts;
  while (accepts.empty()) {  // delivers everything except Accepts
    REQUIRE_FALSE((submitted.sends.empty() && submitted.writes.empty()));
    RegisterOutput next;
    for (const RegisterWrite& write : submitted.writes)
      cluster.node("b").StoreDone(cluster.now, write.token, true, &next);
    for (const RegisterSend& send : submitted.sends) {
      if (send.message.has_accept() && send.address == "a:7660") accepts.push_back(send.message);
      if (send.message.has_accept()) continue;
      RegisterOutput answered;
      RegisterNode& replica = *cluster.nodes.at(send.address);
      replica.Receive(cluster.now, "b:7660", send.message, &answered);
      for (const RegisterWrite& write : answered.writes)
        replica.StoreDone(cluster.now, write.token, true, &answered);
      for (const RegisterSend& answer : answered.sends)
        cluster.node("b").Receive(cluster.now, send.address, answer.message, &next);
    }
    submitted = std::move(next);
  }
  messages::RegisterMessage accept = accepts.front();
  REQUIRE(accept.accept().has_base());
  SECTION("another base") { accept.mutable_accept()->mutable_base()->set_round(77); }
  SECTION("another delta") { accept.mutable_accept()->mutable_delta()->mutable_segments(0)->set_length(3); }
  RegisterOutput output;
  Receive(&cluster.node("a"), "b:7660", accept, &output);
  CHECK(output.writes.empty());
  REQUIRE(output.sends.size() == 1);
  CHECK(output.sends[0].message.refused().lacks_base());
  CHECK(output.proposals.empty());
}

TEST_CASE("a replica reports the proposals of other nodes, deltas as full values") {
  Cluster cluster({"a", "b", "c"});
  std::vector<std::string> reported;
  const auto record = [&](const RegisterOutput& output) {
    for (const RegisterProposal& proposal : output.proposals) reported.push_back(proposal.value->payload());
  };
  cluster.on_output = record;
  cluster.Call("a", Sets(kLarge));
  CHECK(reported == std::vector<std::string>{kLarge, kLarge});  // to b and c, not to a itself
  reported.clear();
  cluster.Call("a", Sets(kLarge + "x"));
  CHECK(reported == std::vector<std::string>{kLarge + "x", kLarge + "x"});
}

TEST_CASE("a preempted proposer backs off for the time that a round takes") {
  // A round with a value of 60 kB and three replicas takes 90 ms over a slow link; the backoff is at least
  // half of that.
  Cluster cluster({"a", "b", "c"});
  REQUIRE(cluster.Call("a", Sets(kLarge)).outcome == Outcome::kChosen);
  RegisterNode& node = cluster.node("a");
  RegisterOutput output;
  node.Submit(cluster.now, kName, Sets("next"), cluster.now + 10 * kSecond, &output);
  for (const RegisterWrite& write : RegisterOutput(output).writes)
    node.StoreDone(cluster.now, write.token, true, &output);
  for (const RegisterSend& send : RegisterOutput(output).sends) {
    if (!send.message.has_prepare()) continue;
    messages::RegisterMessage refused;
    refused.set_register_name(kName);
    refused.set_replica_id(send.message.replica_id());
    refused.set_operation(send.message.operation());
    *refused.mutable_refused()->mutable_ballot() = send.message.prepare().ballot();
    refused.mutable_refused()->mutable_promised()->set_round(9);
    refused.mutable_refused()->mutable_promised()->set_proposer("b#1");
    SetChecksum(&refused);
    node.Receive(cluster.now, send.address, refused, &output);
  }
  REQUIRE(node.NextTimer());
  CHECK(*node.NextTimer() - cluster.now >= 40 * kMillisecond);
  CHECK(*node.NextTimer() - cluster.now <= 300 * kMillisecond);
}

}  // namespace
}  // namespace lichenlug::consensus
