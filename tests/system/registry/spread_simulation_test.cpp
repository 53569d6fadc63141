// Many registries on a faulty network: drains reach all in time, and lost changes are repaired.
#include <catch2/catch.hpp>

#include "registry_network.h"

namespace lichenlug::registry {
namespace {

using messages::RUNNER_DRAINING;
using messages::RUNNER_READY;

constexpr Time kDrainBound = 2 * kSecond;

// Loses a tenth of the messages, duplicates a tenth, delays a tenth by up to half a second.
RegistryNetwork::DeliveryFunction FaultyNetwork(RegistryNetwork* network) {
  return [network](SentMessage*) -> std::vector<Time> {
    const auto short_delay = [network] { return kMillisecond + network->Random(5 * kMillisecond); };
    switch (network->Random(10)) {
      case 0:
        return {};
      case 1:
        return {short_delay(), short_delay() + network->Random(300 * kMillisecond)};
      case 2:
        return {network->Random(500 * kMillisecond)};
      default:
        return {short_delay()};
    }
  };
}

}  // namespace

TEST_CASE("an acknowledged drain reaches all in time on a network with a tenth of the messages lost") {
  const auto [count, seeds] = GENERATE(std::pair(10, 30), std::pair(100, 3));
  for (int seed = 1; seed <= seeds; ++seed) {
    CAPTURE(count, seed);
    RegistryNetwork network(static_cast<std::size_t>(count), static_cast<std::uint64_t>(seed));
    network.delivery = FaultyNetwork(&network);
    for (std::size_t i = 0; i < 12; ++i) network.AddRunner("i-" + std::to_string(i), i % 3);
    network.RunFor(5 * kSecond);
    for (int i = 0; i < 12; i += 2) {
      const std::string runner_id = "i-" + std::to_string(i);
      auto& runner = network.runners[runner_id];
      runner.record.set_state(RUNNER_DRAINING);
      runner.record.set_remaining_ms(2000);
      runner.sends_heartbeats = false;  // reports the drain only once
      REQUIRE(network.SendHeartbeat(&runner));
      network.RunFor(kDrainBound);
      REQUIRE(network.AllKnow(runner_id, RUNNER_DRAINING));
    }
    for (int i = 0; i < 12; i += 2) network.Delete(network.Random(count), "i-" + std::to_string(i));
    network.RunFor(kDrainBound);
    for (int i = 0; i < 12; ++i)
      REQUIRE(
          network.AllKnow("i-" + std::to_string(i), i % 2 == 0 ? std::nullopt : std::optional(RUNNER_READY)));
    REQUIRE(network.AllAgree());
  }
}

TEST_CASE("a drain reaches all even if the dispatcher that acknowledged it fails during propagation") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(10, seed);
    auto& runner = network.AddRunner("i-1");
    network.RunFor(5 * kSecond);
    runner.record.set_state(RUNNER_DRAINING);
    runner.sends_heartbeats = false;
    bool arrived = false;  // at one peer; half of all other messages are lost
    network.delivery = [&](SentMessage*) -> std::vector<Time> {
      if (std::exchange(arrived, true) && network.Random(2) == 0) return {};
      return {kMillisecond};
    };
    const auto acknowledger = network.SendHeartbeat(&runner);
    REQUIRE(acknowledger);
    network.delivery = nullptr;
    network.Kill(*acknowledger);
    network.UpdateMembers();
    network.RunFor(1800 * kMillisecond);  // less than the bound, and before the runner counts as silent
    REQUIRE(network.AllKnow("i-1", RUNNER_DRAINING));
    REQUIRE(network.AllAgree());
  }
}

TEST_CASE("a change reaches a dispatcher that becomes live during its propagation") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(10, seed);
    for (int i = 0; i < 5; ++i) network.AddRunner("i-" + std::to_string(i));
    network.RunFor(5 * kSecond);
    network.Kill(9);
    network.UpdateMembers();
    network.RunFor(kSecond);
    network.Start(9);
    network.RunFor(network.Random(300 * kMillisecond));
    auto& runner = network.runners["i-1"];
    runner.record.set_state(RUNNER_DRAINING);
    runner.sends_heartbeats = false;
    for (std::size_t i = 0; i < 9; ++i) {
      runner.reports_to = i;
      if (network.SendHeartbeat(&runner)) break;
    }
    network.RunFor(network.Random(300 * kMillisecond));
    network.UpdateMembers();
    network.RunFor(kSecond);
    REQUIRE(network.AllKnow("i-1", RUNNER_DRAINING));
    REQUIRE(network.AllAgree());
  }
}

TEST_CASE("heartbeats without changes cause no messages other than digests") {
  RegistryNetwork network(10, 3);
  for (std::size_t i = 0; i < 30; ++i) network.AddRunner("i-" + std::to_string(i), i % 3);
  network.RunFor(10 * kSecond);
  std::size_t updates = 0, entries = 0;
  network.on_send = [&](const SentMessage& sent) {
    updates += sent.message.has_update();
    entries += sent.message.has_digest() ? static_cast<std::size_t>(sent.message.digest().entries_size()) : 0;
  };
  network.RunFor(20 * kSecond);
  CHECK(updates == 0);
  CHECK(entries == 0);
  network.messages_sent = 0;
  network.RunFor(10 * kSecond);
  CHECK(network.messages_sent <= 10 * 10 * 4 / 3 + 10);  // one digest per second each, with jitter
}

TEST_CASE("tables converge with any single message lost, duplicated, delayed or modified") {
  // Runners start; one drains and is removed, one crashes, one changes its models; a dispatcher restarts.
  const auto play = [](std::size_t target, int fault) {
    auto network = std::make_unique<RegistryNetwork>(4, 11);
    auto* net = network.get();
    net->delivery = [net, target, fault](SentMessage* sent) -> std::vector<Time> {
      if (net->messages_sent != target) return {2 * kMillisecond};
      auto* message = &sent->message;
      switch (fault) {
        case 0:
          return {};
        case 1:
          return {2 * kMillisecond, 40 * kMillisecond};
        case 2:
          return {3 * kSecond};
        case 3:  // numbers
          if (message->has_ack()) message->mutable_ack()->set_number(message->ack().number() ^ 1);
          if (message->has_update()) message->mutable_update()->set_number(message->update().number() + 1);
          if (message->has_digest()) message->mutable_digest()->set_hash(message->digest().hash() ^ 1);
          return {2 * kMillisecond};
        case 4:  // flags
          if (message->has_update()) message->mutable_update()->set_wants_ack(!message->update().wants_ack());
          if (message->has_digest()) message->mutable_digest()->set_reply(!message->digest().reply());
          return {2 * kMillisecond};
        case 5:  // contents removed
          if (message->has_update()) message->mutable_update()->clear_records();
          if (message->has_digest()) message->mutable_digest()->clear_entries();
          return {2 * kMillisecond};
        default:  // an older call count
          if (message->has_update())
            for (auto& record : *message->mutable_update()->mutable_records()) record.set_call_count(0);
          if (message->has_digest())
            for (auto& entry : *message->mutable_digest()->mutable_entries()) entry.set_call_count(0);
          return {2 * kMillisecond};
      }
    };
    for (std::size_t i = 0; i < 5; ++i) net->AddRunner("i-" + std::to_string(i), i % 3);
    net->RunFor(2500 * kMillisecond);
    net->runners["i-0"].record.set_state(RUNNER_DRAINING);
    net->runners["i-1"].record.add_models()->set_name("m1");
    net->runners["i-2"].sends_heartbeats = false;
    net->RunFor(2 * kSecond);
    net->runners["i-0"].sends_heartbeats = false;
    net->Delete(1, "i-0");
    net->Kill(3);
    net->UpdateMembers();
    net->RunFor(kSecond);
    net->Start(3);
    net->UpdateMembers();
    net->RunFor(14 * kSecond);
    return network;
  };
  const auto baseline = play(0, 0);
  REQUIRE(baseline->AllAgree());
  REQUIRE(baseline->Runners(0).size() == 3);
  const std::size_t messages = baseline->messages_sent;
  REQUIRE(messages > 100);
  for (int fault = 0; fault <= 6; ++fault) {
    for (std::size_t target = 1; target <= messages; ++target) {
      const auto network = play(target, fault);
      CAPTURE(fault, target);
      REQUIRE(network->AllAgree());
      REQUIRE(network->Runners(0).size() == 3);
      REQUIRE(network->StateAt(0, "i-3") == RUNNER_READY);
      REQUIRE_FALSE(network->StateAt(0, "i-0"));
    }
  }
}

}  // namespace lichenlug::registry
