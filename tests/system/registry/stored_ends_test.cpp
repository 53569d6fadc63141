// Announced ends of runners on disk: an acknowledged drain or removal must outlast a crash of all
// dispatchers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "registry_network.h"

namespace lichenlug::registry {
namespace {

using messages::RUNNER_DRAINING;
using messages::RUNNER_GONE;
using messages::RUNNER_READY;

constexpr Time kNow = 100 * kSecond;
constexpr std::size_t kMaxRunners = 100;

std::vector<messages::RegistryAck> AcksIn(const RegistryOutput& output) {
  std::vector<messages::RegistryAck> acks;
  for (const auto& send : output.sends)
    if (send.message.has_ack()) acks.push_back(send.message.ack());
  return acks;
}

void OpenStore(Registry* registry, const std::vector<messages::RunnerRecord>& stored = {}) {
  RegistryOutput output;
  registry->StoreOpened(kNow, stored, &output);
}

messages::RegistryMessage UpdateWith(std::uint64_t number, const messages::RunnerRecord& record) {
  messages::RegistryMessage message;
  message.mutable_update()->set_number(number);
  message.mutable_update()->set_wants_ack(true);
  *message.mutable_update()->add_records() = record;
  return message;
}

messages::RunnerRecord GoneRecord(const std::string& runner_id, std::int64_t ended_ms_ago = 0) {
  messages::RunnerRecord record;
  record.set_runner_id(runner_id);
  record.set_state(RUNNER_GONE);
  record.set_ended_ms_ago(ended_ms_ago);
  return record;
}

void AcknowledgeFrom(Registry* registry, const std::string& from, std::uint64_t number, bool ends_pending,
                     RegistryOutput* output) {
  messages::RegistryMessage ack;
  ack.mutable_ack()->set_number(number);
  ack.mutable_ack()->set_ends_pending(ends_pending);
  registry->Receive(kNow, from, ack, output);
}

}  // namespace

// Guards against a runner that gets requests again after its acknowledged end, once all dispatchers have
// restarted and a late heartbeat arrives (review/5).
TEST_CASE("a late heartbeat does not revive a runner whose end was stored before the restart") {
  Registry before = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&before);
  RegistryOutput output;
  before.Heartbeat(kNow, MakeRecord("i-1", 1), &output);
  before.Heartbeat(kNow, MakeRecord("i-2", 1), &output);
  before.Delete(kNow, "i-1", &output);
  before.Heartbeat(kNow, MakeRecord("i-2", 2, RUNNER_DRAINING), &output);
  REQUIRE(output.writes.size() == 2);
  std::vector<messages::RunnerRecord> stored;
  for (const EndWrite& write : output.writes) stored.push_back(*write.record);

  Registry after = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&after, stored);
  for (const std::uint64_t count : {1, 2, 9}) {
    after.Heartbeat(kNow, MakeRecord("i-1", count), &output);
    after.Heartbeat(kNow, MakeRecord("i-2", count), &output);
    REQUIRE(after.Runners().size() == 1);
    CHECK(after.Runners()[0]->runner_id() == "i-2");
    CHECK(after.Runners()[0]->state() == RUNNER_DRAINING);
  }
  CHECK(after.IsEndStored("i-1"));
  CHECK(after.IsEndStored("i-2"));
}

TEST_CASE("a heartbeat that arrived before the store was open does not hide the stored end") {
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  RegistryOutput output;
  registry.SetMembers(kNow, {MakeMember(1)}, &output);
  registry.Heartbeat(kNow, MakeRecord("i-1", 1), &output);
  registry.Heartbeat(kNow, MakeRecord("i-2", 1), &output);
  CHECK(registry.Runners().size() == 2);
  RegistryOutput opened;
  registry.StoreOpened(kNow, {GoneRecord("i-1"), MakeRecord("i-2", 1, RUNNER_DRAINING)}, &opened);
  REQUIRE(registry.Runners().size() == 1);
  CHECK(registry.Runners()[0]->state() == RUNNER_DRAINING);
  CHECK(opened.changed);
  REQUIRE(UpdatesIn(opened).size() == 1);  // the heartbeats were spread, so the ends are, too
  CHECK(UpdatesIn(opened)[0].records_size() == 2);
}

TEST_CASE("an end counts here once it is on this dispatcher's disk") {
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&registry);
  RegistryOutput output;
  registry.Heartbeat(kNow, MakeRecord("i-1", 1), &output);
  CHECK(output.writes.empty());
  registry.Heartbeat(kNow, MakeRecord("i-1", 2, RUNNER_DRAINING), &output);
  REQUIRE(output.writes.size() == 1);
  CHECK_FALSE(registry.IsEndStored("i-1"));
  registry.WriteDone(kNow, output.writes[0].token, true, &output);
  CHECK(registry.IsEndStored("i-1"));

  registry.Delete(kNow, "i-1", &output);
  REQUIRE(output.writes.size() == 2);
  CHECK_FALSE(registry.IsEndStored("i-1"));  // only the drain is stored
  registry.WriteDone(kNow, output.writes[1].token, true, &output);
  CHECK(registry.IsEndStored("i-1"));
}

TEST_CASE("an update is acknowledged in full only once its ends are on disk") {
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&registry);
  const std::string peer = MakeMember(1).address;
  RegistryOutput received;
  registry.Receive(kNow, peer, UpdateWith(7, GoneRecord("i-1")), &received);
  REQUIRE(AcksIn(received).size() == 1);
  CHECK(AcksIn(received)[0].number() == 7);
  CHECK(AcksIn(received)[0].ends_pending());
  REQUIRE(received.writes.size() == 1);

  SECTION("the acknowledgement follows the write") {
    RegistryOutput stored;
    registry.WriteDone(kNow, received.writes[0].token, true, &stored);
    REQUIRE(AcksIn(stored).size() == 1);
    CHECK(AcksIn(stored)[0].number() == 7);
    CHECK_FALSE(AcksIn(stored)[0].ends_pending());
    RegistryOutput repeated;  // an end that is stored is acknowledged at once
    registry.Receive(kNow, peer, UpdateWith(8, GoneRecord("i-1")), &repeated);
    REQUIRE(AcksIn(repeated).size() == 1);
    CHECK_FALSE(AcksIn(repeated)[0].ends_pending());
    CHECK(repeated.writes.empty());
  }
  SECTION("a failed write is not acknowledged, and is repeated after a delay") {
    RegistryOutput failed, early, late;
    registry.WriteDone(kNow, received.writes[0].token, false, &failed);
    CHECK(AcksIn(failed).empty());
    registry.Tick(kNow + kSecond / 2, &early);
    CHECK(early.writes.empty());
    registry.Tick(kNow + 2 * kSecond, &late);
    REQUIRE(late.writes.size() == 1);
    registry.WriteDone(kNow + 2 * kSecond, late.writes[0].token, true, &late);
    CHECK(std::ranges::any_of(AcksIn(late), [](const auto& ack) { return !ack.ends_pending(); }));
  }
}

TEST_CASE("ends that arrive before the store is open are stored and acknowledged once it is") {
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  RegistryOutput received, opened;
  registry.Receive(kNow, MakeMember(1).address, UpdateWith(7, GoneRecord("i-1")), &received);
  CHECK(received.writes.empty());
  CHECK(AcksIn(received).at(0).ends_pending());
  registry.StoreOpened(kNow, {}, &opened);
  REQUIRE(opened.writes.size() == 1);
  RegistryOutput stored;
  registry.WriteDone(kNow, opened.writes[0].token, true, &stored);
  REQUIRE(AcksIn(stored).size() == 1);
  CHECK_FALSE(AcksIn(stored)[0].ends_pending());
}

TEST_CASE("a dispatcher without a store acknowledges ends at once and writes nothing") {
  Registry registry = MakeRegistry();
  RegistryOutput output;
  registry.Receive(kNow, MakeMember(1).address, UpdateWith(7, GoneRecord("i-1")), &output);
  CHECK(output.writes.empty());
  REQUIRE(AcksIn(output).size() == 1);
  CHECK_FALSE(AcksIn(output)[0].ends_pending());
  CHECK_FALSE(registry.IsEndStored("i-1"));
}

TEST_CASE("an end counts at a peer once that has stored it, and other changes do not wait for its disk") {
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&registry);
  const std::string peer = MakeMember(1).address;
  RegistryOutput output, drained;
  registry.SetMembers(kNow, {MakeMember(1)}, &output);
  registry.Heartbeat(kNow, MakeRecord("i-1", 1, RUNNER_DRAINING), &drained);
  REQUIRE(UpdatesIn(drained).size() == 1);
  const std::uint64_t number = UpdatesIn(drained)[0].number();
  RegistryOutput waiting;
  registry.Heartbeat(kNow, MakeRecord("i-2", 1), &waiting);
  CHECK(UpdatesIn(waiting).empty());  // until the peer has answered

  RegistryOutput received;
  AcknowledgeFrom(&registry, peer, number, /*ends_pending=*/true, &received);
  CHECK_FALSE(registry.IsEndAcknowledgedBy("i-1", peer));
  REQUIRE(UpdatesIn(received).size() == 1);
  REQUIRE(UpdatesIn(received)[0].records_size() == 1);
  CHECK(UpdatesIn(received)[0].records(0).runner_id() == "i-2");

  RegistryOutput repeated;  // the acknowledgement of the write may be lost
  registry.Tick(kNow + kSecond, &repeated);
  CHECK(std::ranges::any_of(UpdatesIn(repeated), [](const auto& update) {
    return std::ranges::any_of(update.records(), [](const auto& r) { return r.runner_id() == "i-1"; });
  }));
  AcknowledgeFrom(&registry, peer, number, /*ends_pending=*/false, &output);
  CHECK(registry.IsEndAcknowledgedBy("i-1", peer));
}

TEST_CASE("a stored end is erased when its runner is no longer tracked") {
  constexpr Time kLongAfter = 200 * kSecond;
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&registry);
  RegistryOutput output, later;
  registry.Delete(kNow, "i-1", &output);
  REQUIRE(output.writes.size() == 1);
  SECTION("stored") { registry.WriteDone(kNow, output.writes[0].token, true, &output); }
  SECTION("still being written") {}
  registry.Tick(kNow + kLongAfter, &later);
  REQUIRE(later.writes.size() == 1);
  CHECK(later.writes[0].runner_id == "i-1");
  CHECK_FALSE(later.writes[0].record.has_value());
  CHECK_FALSE(registry.IsEndStored("i-1"));
  RegistryOutput stale;
  registry.WriteDone(kNow + kLongAfter, output.writes[0].token, true, &stale);
  CHECK_FALSE(registry.IsEndStored("i-1"));
}

TEST_CASE("an end that was stored too long ago is erased after the start") {
  constexpr std::int64_t kLongAgoMs = 3'600'000;
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&registry, {GoneRecord("i-1", kLongAgoMs), GoneRecord("i-2", 1000)});
  RegistryOutput output;
  registry.Tick(kNow, &output);
  REQUIRE(output.writes.size() == 1);
  CHECK(output.writes[0].runner_id == "i-1");
  CHECK_FALSE(output.writes[0].record.has_value());
}

TEST_CASE("a stored drain does not displace the runner that has its address now") {
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  RegistryOutput output;
  auto newer = MakeRecord("i-2", 1);
  registry.Heartbeat(kNow, newer, &output);
  auto older = MakeRecord("i-1", 40, RUNNER_DRAINING);
  older.set_address(newer.address());
  registry.StoreOpened(kNow, {older}, &output);
  REQUIRE(registry.Runners().size() == 1);
  CHECK(registry.Runners()[0]->runner_id() == "i-2");
}

TEST_CASE("a repeated end is stored however long ago the runner ended") {
  constexpr std::int64_t kAgeMs = 100'000;  // no longer in digests, but still tracked
  Registry registry = MakeRegistry(kMaxRunners, /*has_store=*/true);
  OpenStore(&registry);
  RegistryOutput received;
  registry.Receive(kNow, MakeMember(1).address, UpdateWith(7, GoneRecord("i-1", kAgeMs)), &received);
  REQUIRE(received.writes.size() == 1);
  registry.Heartbeat(kNow, MakeRecord("i-1", 5), &received);
  CHECK(registry.Runners().empty());
}

}  // namespace lichenlug::registry
