// Answers and messages of a single registry.
#include "registry/registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "registry_network.h"

namespace lichenlug::registry {
namespace {

using messages::RUNNER_DRAINING;
using messages::RUNNER_READY;

void Acknowledge(Registry* registry, const std::string& from, std::uint64_t number, Time now) {
  messages::RegistryMessage ack;
  ack.mutable_ack()->set_number(number);
  RegistryOutput output;
  registry->Receive(now, from, ack, &output);
}

}  // namespace

TEST_CASE("a change is sent to every dispatcher immediately and repeated until each has acknowledged it") {
  Registry registry = MakeRegistry();
  Time now = 100 * kSecond;
  RegistryOutput start;
  registry.SetMembers(now, {MakeMember(1, "zone-1"), MakeMember(2, "zone-1")}, &start);
  RegistryOutput first;
  CHECK(registry.Heartbeat(now, MakeRecord("i-1", 1), &first).taken);
  CHECK(first.changed);
  REQUIRE(UpdatesIn(first).size() == 2);
  CHECK(UpdatesIn(first)[0].wants_ack());
  for (const auto& send : first.sends)
    if (send.address == MakeMember(1).address)
      Acknowledge(&registry, send.address, send.message.update().number(), now);

  RegistryOutput later;
  now += 200 * kMillisecond;
  registry.Tick(now, &later);
  REQUIRE(UpdatesIn(later).size() == 1);
  CHECK(UpdatesIn(later)[0].records(0).runner_id() == "i-1");

  SECTION("an acknowledgement of an older version does not cover a newer record") {
    RegistryOutput second;
    registry.Heartbeat(now, MakeRecord("i-1", 2, RUNNER_DRAINING), &second);
    REQUIRE(UpdatesIn(second).size() == 2);
    Acknowledge(&registry, MakeMember(2).address, UpdatesIn(later)[0].number(), now);
    RegistryOutput repeat;
    registry.Tick(now + 200 * kMillisecond, &repeat);
    REQUIRE(UpdatesIn(repeat).size() == 2);
    CHECK(UpdatesIn(repeat)[1].records(0).state() == RUNNER_DRAINING);
  }
  SECTION("an acknowledgement with a number that was never sent is ignored") {
    Acknowledge(&registry, MakeMember(2).address, ~std::uint64_t{0}, now);
    RegistryOutput repeat;
    registry.Tick(now + 200 * kMillisecond, &repeat);
    CHECK(UpdatesIn(repeat).size() == 1);
  }
  SECTION("a peer that is no longer live is sent nothing") {
    RegistryOutput output;
    registry.SetMembers(now, {MakeMember(1, "zone-1")}, &output);
    registry.Tick(now + 200 * kMillisecond, &output);
    CHECK(UpdatesIn(output).empty());
  }
}

TEST_CASE("changes wait for the outstanding acknowledgement, and each is sent once") {
  constexpr int kChanges = 40, kMaxAtOnce = 8;
  Registry registry = MakeRegistry();
  Time now = 100 * kSecond;
  const std::string peer = MakeMember(1).address;
  RegistryOutput output;
  registry.SetMembers(now, {MakeMember(1)}, &output);
  std::vector<messages::RegistryUpdate> sent;
  for (int change = 0; change < kChanges; ++change) {
    now += 2 * kMillisecond;  // all before the first retransmission
    RegistryOutput one;
    registry.Heartbeat(now, MakeRecord("i-" + std::to_string(change), 1), &one);
    for (const auto& update : UpdatesIn(one)) sent.push_back(update);
  }
  CHECK(sent.size() == 1);
  std::map<std::string, int> send_counts;  // by runner
  for (std::size_t at = 0; at < sent.size(); ++at) {
    CHECK(sent[at].records_size() <= kMaxAtOnce);
    for (const auto& record : sent[at].records()) ++send_counts[record.runner_id()];
    messages::RegistryMessage ack;
    ack.mutable_ack()->set_number(sent[at].number());
    RegistryOutput next;
    registry.Receive(now, peer, ack, &next);
    for (const auto& update : UpdatesIn(next)) sent.push_back(update);
  }
  CHECK(send_counts.size() == kChanges);
  CHECK(std::ranges::all_of(send_counts, [](const auto& entry) { return entry.second == 1; }));
}

TEST_CASE("an end does not wait for an outstanding acknowledgement") {
  Registry registry = MakeRegistry();
  const Time now = 100 * kSecond;
  RegistryOutput output;
  registry.SetMembers(now, {MakeMember(1)}, &output);
  registry.Heartbeat(now, MakeRecord("i-1", 1), &output);
  RegistryOutput waiting, drained, gone;
  registry.Heartbeat(now, MakeRecord("i-2", 1), &waiting);
  CHECK(UpdatesIn(waiting).empty());
  registry.Heartbeat(now, MakeRecord("i-3", 1, RUNNER_DRAINING), &drained);
  REQUIRE(UpdatesIn(drained).size() == 1);
  CHECK(UpdatesIn(drained)[0].records_size() == 2);  // together with the waiting change
  registry.Delete(now, "i-1", &gone);
  REQUIRE(UpdatesIn(gone).size() == 1);
  CHECK(UpdatesIn(gone)[0].records(0).runner_id() == "i-1");
}

TEST_CASE("an acknowledgement covers only the records of its own message") {
  Registry registry = MakeRegistry();
  const Time now = 100 * kSecond;
  const std::string peer = MakeMember(1).address;
  RegistryOutput output;
  registry.SetMembers(now, {MakeMember(1)}, &output);
  RegistryOutput first, second;
  registry.Heartbeat(now, MakeRecord("i-1", 1), &first);
  registry.Heartbeat(now, MakeRecord("i-2", 1, RUNNER_DRAINING), &second);
  REQUIRE(UpdatesIn(second).size() == 1);
  CHECK(UpdatesIn(second)[0].records_size() == 1);
  Acknowledge(&registry, peer, UpdatesIn(second)[0].number(), now);  // the first message was lost
  RegistryOutput repeat;
  registry.Tick(now + 200 * kMillisecond, &repeat);
  REQUIRE(UpdatesIn(repeat).size() == 1);
  REQUIRE(UpdatesIn(repeat)[0].records_size() == 1);
  CHECK(UpdatesIn(repeat)[0].records(0).runner_id() == "i-1");
}

TEST_CASE("retransmissions to a peer that acknowledges nothing back off but do not stop") {
  Registry registry = MakeRegistry();
  const Time began = 100 * kSecond;
  RegistryOutput output;
  registry.SetMembers(began, {MakeMember(1)}, &output);
  registry.Heartbeat(began, MakeRecord("i-1", 1), &output);
  std::vector<Time> repeats;
  for (Time now = began; now < began + 4 * kSecond; now += 10 * kMillisecond) {
    RegistryOutput tick;
    registry.Tick(now, &tick);
    if (!UpdatesIn(tick).empty()) repeats.push_back(now - began);
  }
  REQUIRE(repeats.size() >= 5);
  CHECK(repeats.size() <= 10);
  CHECK(repeats.front() <= 200 * kMillisecond);
  CHECK(repeats[3] <= 1300 * kMillisecond);  // four repeats fit into the shortest bound for drains
  for (std::size_t at = 2; at < repeats.size(); ++at)
    CHECK(repeats[at] - repeats[at - 1] >= repeats[at - 1] - repeats[at - 2]);
}

TEST_CASE("an end is known only at peers that have acknowledged it since their last restart") {
  Registry registry = MakeRegistry();
  const Time now = 100 * kSecond;
  RegistryOutput output;
  registry.SetMembers(now, {MakeMember(1), MakeMember(2)}, &output);
  registry.Heartbeat(now, MakeRecord("i-1", 1), &output);
  const std::uint64_t ready_number = UpdatesIn(output).front().number();
  RegistryOutput drained;
  CHECK(registry.Heartbeat(now, MakeRecord("i-1", 2, RUNNER_DRAINING), &drained).is_end);
  const std::string first = MakeMember(1).address;
  CHECK_FALSE(registry.IsEndAcknowledgedBy("i-1", first));
  Acknowledge(&registry, first, ready_number, now);  // of the previous record
  CHECK_FALSE(registry.IsEndAcknowledgedBy("i-1", first));
  for (const auto& send : drained.sends)
    if (send.address == first) Acknowledge(&registry, first, send.message.update().number(), now);
  CHECK(registry.IsEndAcknowledgedBy("i-1", first));
  CHECK_FALSE(registry.IsEndAcknowledgedBy("i-1", MakeMember(2).address));

  SECTION("a removal must be acknowledged again") {
    registry.Delete(now, "i-1", &output);
    CHECK_FALSE(registry.IsEndAcknowledgedBy("i-1", first));
  }
  SECTION("a restarted peer has lost it") {
    Member restarted = MakeMember(1);
    restarted.incarnation = 2;
    registry.SetMembers(now, {restarted, MakeMember(2)}, &output);
    CHECK_FALSE(registry.IsEndAcknowledgedBy("i-1", first));
  }
  SECTION("it is not sent again to peers that have acknowledged it") {
    RegistryOutput resent;
    registry.SendEnd(now, "i-1", {first}, &resent);
    CHECK(UpdatesIn(resent).empty());
  }
}

TEST_CASE("a drain learned from another dispatcher is sent to the core again before it is acknowledged") {
  Registry registry = MakeRegistry();
  const Time now = 100 * kSecond;
  RegistryOutput output;
  registry.SetMembers(now, {MakeMember(1), MakeMember(2)}, &output);
  messages::RegistryMessage news;
  *news.mutable_update()->add_records() = MakeRecord("i-1", 2, RUNNER_DRAINING);
  registry.Receive(now, MakeMember(2).address, news, &output);
  RegistryOutput heartbeat_output;
  CHECK(registry.Heartbeat(now, MakeRecord("i-1", 3, RUNNER_DRAINING), &heartbeat_output).is_end);
  RegistryOutput resent;
  registry.SendEnd(now, "i-1", {MakeMember(1).address}, &resent);
  REQUIRE(UpdatesIn(resent).size() == 1);
  CHECK(UpdatesIn(resent)[0].records(0).state() == RUNNER_DRAINING);
}

TEST_CASE(
    "heartbeats without changes are not propagated; a dispatcher that is not the home notifies the home") {
  Time now = 100 * kSecond;
  for (const bool is_home : {true, false}) {
    Registry registry = MakeRegistry();
    RegistryOutput output;
    registry.SetMembers(now, {MakeMember(1, "zone-1")}, &output);
    auto record = MakeRecord("i-1", 1);
    record.set_zone(is_home ? "zone-0" : "zone-1");
    const auto answer = registry.Heartbeat(now, record, &output);
    CHECK(answer.report_to == (is_home ? "" : MakeMember(1).control_address));
    record.set_call_count(2);
    record.set_cold_ms(77);
    RegistryOutput second;
    registry.Heartbeat(now, record, &second);
    CHECK_FALSE(second.changed);
    CHECK(registry.Runners().at(0)->cold_ms() == 77);
    if (is_home) {
      CHECK(second.sends.empty());
    } else {
      REQUIRE(second.sends.size() == 1);
      CHECK(second.sends[0].message.update().alive(0).call_count() == 2);
      CHECK_FALSE(second.sends[0].message.update().wants_ack());
    }
  }
}

TEST_CASE("a change of one runner copies the records of no others") {
  Registry registry = MakeRegistry();
  const Time now = 100 * kSecond;
  RegistryOutput output;
  for (const std::string runner : {"i-1", "i-2", "i-3"})
    registry.Heartbeat(now, MakeRecord(runner, 1), &output);
  const RunnerList before = registry.Runners();
  REQUIRE(before.size() == 3);
  auto changed = MakeRecord("i-2", 2);
  changed.set_slots(99);
  registry.Heartbeat(now, changed, &output);
  const RunnerList after = registry.Runners();
  REQUIRE(after.size() == 3);
  CHECK(after[0] == before[0]);
  CHECK(after[2] == before[2]);
  CHECK(after[1]->slots() == 99);
  CHECK(before[1]->slots() == 8);  // readers may still use it
}

TEST_CASE("stale heartbeats change nothing") {
  Registry registry = MakeRegistry();
  Time now = 100 * kSecond;
  RegistryOutput output;
  auto record = MakeRecord("i-1", 5);
  registry.Heartbeat(now, record, &output);
  auto late = MakeRecord("i-1", 4);
  late.set_slots(99);
  late.set_address("10.9.9.9:1");
  RegistryOutput after;
  CHECK(registry.Heartbeat(now, late, &after).taken);
  CHECK(after.sends.empty());
  CHECK_FALSE(after.changed);
  CHECK(registry.Runners().at(0)->slots() == 8);

  SECTION("a ready heartbeat does not end a drain") {
    registry.Heartbeat(now, MakeRecord("i-1", 6, RUNNER_DRAINING), &output);
    for (const std::uint64_t count : {5, 6, 7, 8})
      registry.Heartbeat(now, MakeRecord("i-1", count, RUNNER_READY), &output);
    CHECK(registry.Runners().at(0)->state() == RUNNER_DRAINING);
  }
  SECTION("a heartbeat after the removal of the runner does not restore it") {
    registry.Delete(now, "i-1", &output);
    registry.Heartbeat(now, MakeRecord("i-1", 9), &output);
    CHECK(registry.Runners().empty());
  }
  SECTION("nor does a heartbeat after the removal of a runner that was unknown") {
    registry.Delete(now, "i-2", &output);
    registry.Heartbeat(now, MakeRecord("i-2", 9), &output);
    CHECK(registry.Runners().size() == 1);
  }
  SECTION("but a drain takes effect even from a stale heartbeat") {
    registry.Heartbeat(now, MakeRecord("i-1", 3, RUNNER_DRAINING), &output);
    CHECK(registry.Runners().at(0)->state() == RUNNER_DRAINING);
  }
}

TEST_CASE("a new runner at the address of another one replaces it") {
  Registry registry = MakeRegistry();
  Time now = 100 * kSecond;
  RegistryOutput output;
  auto older = MakeRecord("i-1", 50);
  registry.Heartbeat(now, older, &output);
  auto newer = MakeRecord("i-2", 1);
  newer.set_address(older.address());
  registry.Heartbeat(now + kSecond, newer, &output);
  REQUIRE(registry.Runners().size() == 1);
  CHECK(registry.Runners()[0]->runner_id() == "i-2");

  older.set_call_count(51);  // delayed in the network
  registry.Heartbeat(now + kSecond, older, &output);
  REQUIRE(registry.Runners().size() == 1);
  CHECK(registry.Runners()[0]->runner_id() == "i-2");
}

TEST_CASE("a full table accepts no new runner, but still updates existing ones") {
  Registry registry = MakeRegistry(2);
  Time now = 100 * kSecond;
  RegistryOutput output;
  CHECK(registry.Heartbeat(now, MakeRecord("i-1", 1), &output).taken);
  CHECK(registry.Heartbeat(now, MakeRecord("i-2", 1), &output).taken);
  CHECK_FALSE(registry.Heartbeat(now, MakeRecord("i-3", 1), &output).taken);
  CHECK(registry.Heartbeat(now, MakeRecord("i-1", 2, RUNNER_DRAINING), &output).taken);
  registry.Delete(now, "i-1", &output);
  CHECK(registry.Heartbeat(now, MakeRecord("i-3", 2), &output).taken);
  CHECK(registry.Runners().size() == 2);
}

TEST_CASE("the number of removed runners that were unknown is bounded") {
  Registry registry = MakeRegistry(2);
  Time now = 100 * kSecond;
  for (int i = 0; i < 10000; ++i) {
    RegistryOutput output;
    registry.Delete(now, "i-" + std::to_string(i), &output);
  }
  RegistryOutput output;
  registry.Tick(now, &output);
  CHECK(registry.Heartbeat(now, MakeRecord("j-1", 1), &output).taken);
}

TEST_CASE("recent changes are sent to a dispatcher that becomes live") {
  Registry registry = MakeRegistry();
  Time now = 100 * kSecond;
  RegistryOutput output;
  registry.Heartbeat(now, MakeRecord("i-1", 1), &output);
  registry.Heartbeat(now + 3 * kSecond, MakeRecord("i-2", 1), &output);
  now += 5 * kSecond;
  RegistryOutput joined;
  registry.SetMembers(now, {MakeMember(1)}, &joined);
  REQUIRE(UpdatesIn(joined).size() == 1);
  REQUIRE(UpdatesIn(joined)[0].records_size() == 1);  // anti-entropy repairs the rest
  CHECK(UpdatesIn(joined)[0].records(0).runner_id() == "i-2");
  CHECK(UpdatesIn(joined)[0].wants_ack());
}

TEST_CASE("after a pause of the process the timeout of every runner restarts") {
  Registry registry = MakeRegistry();
  Time now = 100 * kSecond;
  RegistryOutput output;
  registry.Tick(now, &output);
  registry.Heartbeat(now, MakeRecord("i-1", 1), &output);
  now += 60 * kSecond;
  for (const Time until = now + 4 * kHeartbeatInterval; now < until; now += kSecond / 10) {
    registry.Tick(now, &output);
    REQUIRE(registry.Runners().size() == 1);
  }
  registry.Tick(now + kSecond / 4, &output);
  CHECK(registry.Runners().empty());
}

TEST_CASE("a new process is settled by the complete table of a settled dispatcher only") {
  Registry registry = MakeRegistry();
  const Time now = 100 * kSecond;
  RegistryOutput output;
  registry.SetMembers(now, {MakeMember(1)}, &output);
  registry.Tick(now, &output);
  messages::RegistryMessage digest;
  digest.mutable_digest()->set_reply(true);
  digest.mutable_digest()->set_hash(5);
  registry.Receive(now, MakeMember(1).address, digest, &output);
  CHECK_FALSE(registry.Settled(now));

  digest.mutable_digest()->set_settled(true);
  auto* entry = digest.mutable_digest()->add_entries();
  entry->set_runner_id("i-1");
  entry->set_call_count(3);
  RegistryOutput asked;
  registry.Receive(now, MakeMember(1).address, digest, &asked);
  CHECK_FALSE(registry.Settled(now));
  REQUIRE(UpdatesIn(asked).size() == 1);
  CHECK(UpdatesIn(asked)[0].wanted(0) == "i-1");

  messages::RegistryMessage update;
  *update.mutable_update()->add_records() = MakeRecord("i-1", 3);
  registry.Receive(now, MakeMember(1).address, update, &output);
  CHECK(registry.Settled(now));
}

TEST_CASE("a new process is settled once it has the table of a settled one, or has run for long enough") {
  RegistryNetwork network(3, 7);
  network.AddRunner("i-1");
  network.RunFor(2 * kHeartbeatInterval - kMillisecond);
  CHECK_FALSE(network.nodes[0].registry->Settled(network.now));  // all are new processes
  network.RunFor(kHeartbeatInterval);
  CHECK(network.nodes[0].registry->Settled(network.now));

  network.Kill(2);
  network.UpdateMembers();
  network.RunFor(kSecond);
  network.Start(2);
  network.RunFor(kMillisecond);
  CHECK_FALSE(network.nodes[2].registry->Settled(network.now));
  network.UpdateMembers();
  network.RunFor(400 * kMillisecond);
  CHECK(network.nodes[2].registry->Settled(network.now));
  CHECK(network.StateAt(2, "i-1") == RUNNER_READY);
}

}  // namespace lichenlug::registry
