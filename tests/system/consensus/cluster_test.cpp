// Several nodes together: changes, reads, group changes and the scrub.
#include "cluster.h"

namespace lichenlug::consensus {
namespace {

TEST_CASE("a change is read back by every node, including one without a store") {
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

TEST_CASE("a read writes nothing and transfers no value that the reader already has") {
  Cluster cluster({"a", "b", "c"});
  cluster.Call("a", Sets(std::string(100'000, 'x')));
  cluster.writes = 0;
  cluster.bytes = 0;
  CHECK(cluster.Call("b", Reads()).payload.size() == 100'000);
  CHECK(cluster.writes == 0);
  CHECK(cluster.bytes < 5'000);
}

TEST_CASE("a read-only operation proposes nothing and succeeds once a value is chosen") {
  Cluster cluster({"a", "b", "c"});
  cluster.Add("reader", {"a", "b", "c"}, false);
  CHECK(cluster.ReadOnly("reader").payload.empty());
  cluster.Call("a", Sets("one"));
  cluster.drop_accepts = true;
  CHECK(cluster.Call("a", Sets("two")).outcome == Outcome::kUnknown);  // accepted at its own replica alone
  cluster.drop_accepts = false;
  cluster.prepares = 0;
  cluster.down = {"c:7660"};  // the other two disagree
  CHECK(cluster.ReadOnly("reader").outcome == Outcome::kNotProposed);
  CHECK(cluster.prepares == 0);
  CHECK(cluster.Call("b", Reads()).payload == "two");
  CHECK(cluster.ReadOnly("reader").payload == "two");
}

TEST_CASE("only one replica sends the value to a reader that does not have it") {
  constexpr std::size_t kPayload = 100'000;
  Cluster cluster({"a", "b", "c", "d", "e"});
  cluster.Add("reader", {"a", "b", "c", "d", "e"}, false);
  cluster.Call("a", Sets(std::string(kPayload, 'x')));
  cluster.bytes = 0;
  CHECK(cluster.ReadOnly("reader").payload.size() == kPayload);
  CHECK(cluster.bytes < kPayload + kPayload / 10);

  SECTION("another replica is asked if the first one is down") {
    for (const char* gone : {"a:7660", "b:7660"}) cluster.down.insert(gone);
    cluster.Add("other", {"a", "b", "c", "d", "e"}, false);
    CHECK(cluster.ReadOnly("other").payload.size() == kPayload);
  }
}

TEST_CASE("a majority is sufficient, and without one a change is not proposed") {
  Cluster cluster({"a", "b", "c"});
  cluster.down = {"c:7660"};
  CHECK(cluster.Call("a", Sets("one")).outcome == Outcome::kChosen);
  cluster.down = {"b:7660", "c:7660"};
  CHECK(cluster.Call("a", Sets("two")).outcome == Outcome::kNotProposed);
  CHECK(cluster.Call("a", Reads()).outcome == Outcome::kNotProposed);
  cluster.down = {"a:7660"};
  CHECK(cluster.Call("c", Reads()).payload == "one");
}

TEST_CASE("the group changes, and a node that knows only the old group finds the new one by a hint") {
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
  CHECK(cluster.Call("d", Reads()).payload == "one");  // the old members refer to the new ones
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

TEST_CASE("the scrub updates a replica that has missed a change, whichever replica starts it") {
  for (const std::string asker : {"a", "c"}) {
    Cluster cluster({});
    for (const std::string name : {"a", "b", "c"}) {
      auto settings = Settings(name, {"a", "b", "c"}, true);
      settings.scrub_interval = name == asker ? kSecond : 0;
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
