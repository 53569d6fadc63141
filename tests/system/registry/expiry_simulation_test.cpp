// When runners are declared lost: with failed homes, paused processes, network partitions, and all combined.
#include <catch2/catch.hpp>

#include "registry_network.h"

namespace lichenlug::registry {
namespace {

using messages::RUNNER_DRAINING;
using messages::RUNNER_READY;

constexpr Time kLossBound = 5 * kHeartbeatInterval;  // until every dispatcher knows that a runner crashed

std::size_t HomeOf(RegistryNetwork* network, const std::string& runner_id) {
  auto& runner = network->runners[runner_id];
  network->SendHeartbeat(&runner);  // the answer names the home
  return runner.reports_to;
}

}  // namespace

TEST_CASE("a silent runner is declared lost everywhere after three heartbeat intervals and not earlier") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(10, seed);
    network.AddRunner("i-1");
    network.AddRunner("i-2");
    network.RunFor(10 * kSecond);
    auto& runner = network.runners["i-1"];
    network.SendHeartbeat(&runner);
    runner.sends_heartbeats = false;
    network.RunFor(3 * kHeartbeatInterval - kMillisecond);
    REQUIRE(network.AllKnow("i-1", RUNNER_READY));
    network.RunFor(kHeartbeatInterval);
    REQUIRE(network.AllKnow("i-1", std::nullopt));
    REQUIRE(network.AllKnow("i-2", RUNNER_READY));

    network.SendHeartbeat(&runner);  // it was only slow
    network.RunFor(500 * kMillisecond);
    REQUIRE(network.AllKnow("i-1", RUNNER_READY));
  }
}

TEST_CASE("a runner that reports to a dispatcher other than its home is not lost until it stops") {
  RegistryNetwork network(10, 5);
  network.AddRunner("i-1");
  network.RunFor(5 * kSecond);
  auto& runner = network.runners["i-1"];
  runner.sends_heartbeats = false;
  const std::size_t other = (HomeOf(&network, "i-1") + 1) % 10;
  for (int i = 0; i < 20; ++i) {
    network.RunFor(kHeartbeatInterval);
    runner.reports_to = other;
    network.SendHeartbeat(&runner);
    REQUIRE(network.AllKnow("i-1", RUNNER_READY));
  }
  network.RunFor(kLossBound);
  REQUIRE(network.AllKnow("i-1", std::nullopt));
}

TEST_CASE("runners survive the failure of their home, and one that fails with it is declared lost") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(6, seed);
    for (int i = 0; i < 4; ++i) network.AddRunner("i-" + std::to_string(i));
    network.RunFor(10 * kSecond);
    const std::size_t home = HomeOf(&network, "i-0");
    network.Kill(home);
    network.runners["i-0"].sends_heartbeats = false;
    network.RunFor(network.Random(3 * kSecond));  // until its failure is detected
    network.UpdateMembers();
    for (int i = 0; i < 100; ++i) {
      network.RunFor(100 * kMillisecond);
      for (int k = 1; k < 4; ++k) REQUIRE(network.AllKnow("i-" + std::to_string(k), RUNNER_READY));
    }
    REQUIRE(network.AllKnow("i-0", std::nullopt));
  }
}

TEST_CASE("a home that was paused or is new does not declare runners lost because of that") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(3, seed);
    network.AddRunner("i-1");
    network.RunFor(10 * kSecond);
    const std::size_t home = HomeOf(&network, "i-1");
    network.Freeze(home);
    const Time until = network.now + 2 * kSecond + network.Random(20 * kSecond);
    while (network.now < until) {
      network.RunFor(100 * kMillisecond);
      REQUIRE(network.AllKnow("i-1", RUNNER_READY));
    }
    network.Thaw(home);
    for (int i = 0; i < 100; ++i) {
      network.RunFor(100 * kMillisecond);
      REQUIRE(network.AllKnow("i-1", RUNNER_READY));
    }
  }
}

TEST_CASE("a loss declared on one side of a network partition is refuted when the partition heals") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(8, seed);
    for (std::size_t i = 0; i < 6; ++i) network.AddRunner("i-" + std::to_string(i), i % 3);
    network.RunFor(10 * kSecond);
    network.sides = {0, 0, 0, 0, 0, 1, 1, 1};
    network.UpdateMembers();
    for (auto& [runner_id, runner] : network.runners) runner.reports_to %= 5;  // reach only one side
    for (int i = 0; i < 150; ++i) {
      network.RunFor(100 * kMillisecond);
      for (auto& [runner_id, runner] : network.runners) runner.reports_to %= 5;
    }
    REQUIRE(network.Runners(6).empty());
    network.sides.clear();
    network.UpdateMembers();
    for (int i = 0; i < 50; ++i) {
      network.RunFor(100 * kMillisecond);
      for (std::size_t node = 0; node < 5; ++node) REQUIRE(network.Runners(node).size() == 6);
    }
    REQUIRE(network.AllAgree());
  }
}

TEST_CASE("ended runners are eventually removed everywhere, and none reappears") {
  RegistryNetwork network(5, 9);
  network.AddRunner("i-1");
  network.RunFor(5 * kSecond);
  network.runners["i-1"].sends_heartbeats = false;
  network.Delete(2, "i-1");
  std::size_t last_mention = 0, second = 0;
  network.on_send = [&](const SentMessage& sent) {
    if (sent.message.ShortDebugString().find("i-1") != std::string::npos) last_mention = second;
  };
  for (second = 0; second < 400; ++second) {
    network.RunFor(kSecond);
    REQUIRE(network.AllKnow("i-1", std::nullopt));
    if (second % 20 == 10) {  // new processes learn of it, and must not keep propagating it
      network.Kill(second / 20 % 5);
      network.UpdateMembers();
    }
    if (second % 20 == 12) {
      network.Start(second / 20 % 5);
      network.UpdateMembers();
    }
  }
  CHECK(last_mention < 130);
}

TEST_CASE(
    "under crashes, pauses, partitions, removals and message loss no drain is lost, and all tables "
    "converge") {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    CAPTURE(seed);
    RegistryNetwork network(7, seed);
    network.delivery = [&](SentMessage*) -> std::vector<Time> {
      if (network.Random(20) == 0) return {};
      if (network.Random(20) == 0) return {2 * kMillisecond, network.Random(kSecond)};
      return {kMillisecond + network.Random(network.Random(30) == 0 ? kSecond : 5 * kMillisecond)};
    };
    int next_runner = 0;
    for (; next_runner < 10; ++next_runner)
      network.AddRunner("i-" + std::to_string(next_runner), static_cast<std::size_t>(next_runner % 3));
    std::vector<std::set<std::string>> seen_draining(7);
    std::set<std::string> gone;
    for (int step = 0; step < 600; ++step) {
      network.RunFor(100 * kMillisecond);
      const auto node = static_cast<std::size_t>(network.Random(7));
      const std::string runner_id = "i-" + std::to_string(network.Random(next_runner));
      auto& runner = network.runners[runner_id];
      switch (network.Random(60)) {
        case 0:
          network.Kill(node);
          seen_draining[node].clear();
          break;
        case 1:
          if (!network.nodes[node].is_running) network.Start(node);
          break;
        case 2:
          network.Freeze(node);
          break;
        case 3:
          for (std::size_t i = 0; i < 7; ++i)
            if (network.nodes[i].is_frozen) network.Thaw(i);
          break;
        case 4:
          runner.record.set_state(RUNNER_DRAINING);
          break;
        case 5:
          runner.sends_heartbeats = false;
          break;
        case 6:
          runner.sends_heartbeats = false;
          if (network.nodes[node].is_running && !network.nodes[node].is_frozen) {
            network.Delete(node, runner_id);
            gone.insert(runner_id);
          }
          break;
        case 7:
          network.AddRunner("i-" + std::to_string(next_runner), network.Random(3));
          ++next_runner;
          break;
        case 8:
          network.sides = {0, 0, 0, 0, 1, 1, 1};
          break;
        case 9:
          network.sides.clear();
          break;
        default:
          break;
      }
      if (step % 7 == 0) network.UpdateMembers();
      for (std::size_t i = 0; i < 7; ++i) {
        if (!network.nodes[i].is_running) continue;
        for (const auto& record : network.Runners(i)) {
          if (record->state() == RUNNER_DRAINING) seen_draining[i].insert(record->runner_id());
          REQUIRE((record->state() != RUNNER_READY || !seen_draining[i].contains(record->runner_id())));
        }
      }
    }
    network.sides.clear();
    for (std::size_t i = 0; i < 7; ++i) {
      if (!network.nodes[i].is_running) network.Start(i);
      if (network.nodes[i].is_frozen) network.Thaw(i);
    }
    network.UpdateMembers();
    network.delivery = nullptr;
    network.RunFor(15 * kSecond);
    for (std::size_t i = 0; i < 7; ++i) UNSCOPED_INFO(network.TableAt(i));
    REQUIRE(network.AllAgree());
    for (const auto& [runner_id, runner] : network.runners) {
      CAPTURE(runner_id);
      const bool is_alive = runner.sends_heartbeats && !gone.contains(runner_id);
      REQUIRE(network.AllKnow(runner_id, is_alive ? std::optional(runner.record.state()) : std::nullopt));
    }
  }
}

}  // namespace lichenlug::registry
