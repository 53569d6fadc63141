// One node at its interface: what it sends, when it writes, and when it ends an operation.
#include "consensus/register_node.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "consensus/checksum.h"

namespace lichenlug::consensus {
namespace {

const std::string kName = "configuration";

messages::ReplicaIdentity Identity(const std::string& name) {
  messages::ReplicaIdentity identity;
  identity.set_replica_id("store-" + name);
  identity.set_address(name + ":7660");
  identity.set_name(name);
  return identity;
}

RegisterNodeSettings Settings(const std::string& name, const std::vector<std::string>& founders, bool store) {
  RegisterNodeSettings settings;
  settings.proposer = name + "#1";
  settings.self_address = name + ":7660";
  settings.self_name = name;
  if (store) settings.replica_id = "store-" + name;
  for (const auto& founder : founders) settings.founding_group.push_back(Identity(founder));
  settings.scrub_every = 0;
  return settings;
}

ChangeFunction Sets(const std::string& payload) {
  return [payload](const std::string&) -> Change { return NewPayload{payload}; };
}
ChangeFunction Reads(int reason = 0) {
  return [reason](const std::string&) -> Change { return KeepPayload{reason}; };
}

void Receive(RegisterNode* node, const std::string& from, messages::RegisterMessage message,
             RegisterOutput* output) {
  SetChecksum(&message);
  node->Receive(0, from, message, output);
}

// Some nodes whose messages and writes are handed over at once, except to those that are down.
struct Cluster {
  explicit Cluster(const std::vector<std::string>& names) {
    for (const auto& name : names) Add(name, names, true);
  }

  void Add(const std::string& name, const std::vector<std::string>& founders, bool store) {
    nodes[name + ":7660"] = std::make_unique<RegisterNode>(Settings(name, founders, store));
  }
  RegisterNode& node(const std::string& name) { return *nodes.at(name + ":7660"); }

  void Run(const std::string& name, RegisterOutput output) { Hand(name + ":7660", std::move(output)); }

  void Hand(const std::string& from, RegisterOutput output) {
    completions.insert(completions.end(), output.completions.begin(), output.completions.end());
    for (const auto& write : output.writes) {
      ++writes;
      records[from][write.key] = write.value;
      RegisterOutput next;
      nodes.at(from)->StoreDone(now, write.token, true, &next);
      Hand(from, std::move(next));
    }
    for (const auto& send : output.sends) {
      if (down.contains(send.address) || !nodes.contains(send.address)) continue;
      bytes += send.message.ByteSizeLong();
      RegisterOutput next;
      nodes.at(send.address)->Receive(now, from, send.message, &next);
      Hand(send.address, std::move(next));
    }
  }

  Completion Call(const std::string& name, ChangeFunction change) {
    RegisterOutput output;
    node(name).Submit(now, kName, std::move(change), now + kSecond, &output);
    Run(name, std::move(output));
    while (completions.empty() && now < 10 * kSecond) {
      now = std::max(now + 1, node(name).NextTimer().value_or(now + kSecond));
      RegisterOutput next;
      node(name).Tick(now, &next);
      Run(name, std::move(next));
    }
    REQUIRE(completions.size() == 1);
    const Completion completion = completions.front();
    completions.clear();
    return completion;
  }

  std::map<std::string, std::unique_ptr<RegisterNode>> nodes;
  std::map<std::string, std::map<std::string, std::string>> records;
  std::set<std::string> down;
  std::vector<Completion> completions;
  int writes = 0;
  std::size_t bytes = 0;
  Time now = kSecond;
};

TEST_CASE("a change is read back by every node, and by one without a store") {
  Cluster cluster({"a", "b", "c"});
  cluster.Add("d", {"a", "b", "c"}, /*store=*/false);
  CHECK(cluster.Call("a", Sets("one")).outcome == Outcome::kChosen);
  for (const std::string name : {"a", "b", "c", "d"}) {
    const auto read = cluster.Call(name, Reads(5));
    CHECK(read.outcome == Outcome::kKept);
    CHECK(read.reason == 5);
    CHECK(read.payload == "one");
    CHECK(read.group.members_size() == 3);
  }
  CHECK(cluster.Call("d", Sets("two")).outcome == Outcome::kChosen);
  CHECK(cluster.Call("b", Reads()).payload == "two");
}

TEST_CASE("an empty register is read as empty") {
  Cluster cluster({"a", "b", "c"});
  const auto read = cluster.Call("a", Reads());
  CHECK(read.outcome == Outcome::kKept);
  CHECK(read.payload.empty());
  CHECK(cluster.writes == 0);
}

TEST_CASE("a read writes nothing, and sends no value that the reader holds") {
  Cluster cluster({"a", "b", "c"});
  cluster.Call("a", Sets(std::string(100'000, 'x')));
  cluster.writes = 0;
  cluster.bytes = 0;
  CHECK(cluster.Call("b", Reads()).payload.size() == 100'000);
  CHECK(cluster.writes == 0);
  CHECK(cluster.bytes < 5'000);
}

TEST_CASE("a minority does not matter, and without a majority a change is not proposed") {
  Cluster cluster({"a", "b", "c"});
  cluster.down = {"c:7660"};
  CHECK(cluster.Call("a", Sets("one")).outcome == Outcome::kChosen);
  cluster.down = {"b:7660", "c:7660"};
  CHECK(cluster.Call("a", Sets("two")).outcome == Outcome::kNotProposed);
  CHECK(cluster.Call("a", Reads()).outcome == Outcome::kNotProposed);
  cluster.down = {"a:7660"};
  CHECK(cluster.Call("c", Reads()).payload == "one");
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

TEST_CASE("the group moves, and one that knows the old one alone finds the new one by a hint") {
  Cluster cluster({"a", "b", "c"});
  for (const std::string name : {"x", "y", "z"}) cluster.Add(name, {"a", "b", "c"}, true);
  cluster.Call("a", Sets("one"));
  const NewGroup to_new{{Identity("x"), Identity("y"), Identity("z")}, 1};
  const auto moved = cluster.Call("a", [&](const std::string&) -> Change { return to_new; });
  CHECK(moved.outcome == Outcome::kChosen);
  CHECK(moved.group.version() == 3);
  CHECK(moved.payload == "one");
  CHECK(cluster.Call("a", [&](const std::string&) -> Change { return to_new; }).outcome == Outcome::kChosen);

  cluster.Add("d", {"a", "b", "c"}, /*store=*/false);
  CHECK(cluster.Call("d", Reads()).payload == "one");  // the old ones lead to the new ones
  cluster.Add("d", {"a", "b", "c"}, /*store=*/false);
  cluster.down = {"a:7660", "b:7660", "c:7660"};
  CHECK(cluster.Call("d", Reads()).outcome == Outcome::kNotProposed);
  cluster.node("d").LearnGroup(kName, moved.group);
  CHECK(cluster.Call("d", Sets("two")).outcome == Outcome::kChosen);
  CHECK(cluster.Call("x", Reads()).payload == "two");
  CHECK(cluster.node("d").KnownGroup(kName).version() == 3);
  cluster.node("d").LearnGroup(kName, {});
  CHECK(cluster.node("d").KnownGroup(kName).version() == 3);
}

TEST_CASE("the scrub brings a replica up to date that has missed a change, whoever asks") {
  for (const std::string asker : {"a", "c"}) {
    Cluster cluster({});
    for (const std::string name : {"a", "b", "c"}) {
      auto settings = Settings(name, {"a", "b", "c"}, true);
      settings.scrub_every = name == asker ? kSecond : 0;
      cluster.nodes[settings.self_address] = std::make_unique<RegisterNode>(settings);
    }
    cluster.Call("a", Sets("one"));
    cluster.down = {"c:7660"};
    cluster.Call("a", Sets("two"));
    cluster.down = {};
    CHECK(cluster.node("c").LocalValue(kName)->payload() == "one");
    for (int i = 0; i < 40; ++i) {
      cluster.now += 2 * kSecond;
      RegisterOutput output;
      cluster.node(asker).Tick(cluster.now, &output);
      cluster.Run(asker, std::move(output));
    }
    CHECK(cluster.node("c").LocalValue(kName)->payload() == "two");
  }
}

}  // namespace
}  // namespace lichenlug::consensus
