// Measures the membership protocol: prints a table and checks each figure against a bound.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "simulated_network.h"

namespace lichenlug::membership_ring {
namespace {

struct Measures {
  double start_s = 0, first_detects_s = 0, all_detect_s = 0, leave_s = 0;
  double messages_per_s = 0, bytes_per_s = 0;           // per member, without faults
  double refutations_per_minute = 0, wrong_deaths = 0;  // sum over all members at 10% message loss
  double partition_s = 0, heal_s = 0,
         partition_bytes_per_s = 0;  // partition into halves; bytes per member from partition to recovery
};

constexpr Time kMeasureTimeout = 60 * kSecond;

double Seconds(std::optional<Time> span) {
  return static_cast<double>(span.value_or(kMeasureTimeout)) / kSecond;
}

double PerMember(const SimulatedNetwork& network, std::uint64_t count, double seconds) {
  return static_cast<double>(count) / seconds / network.size();
}

void MeasureCalm(SimulatedNetwork& network, Measures* measures) {
  const std::uint64_t bytes = network.bytes_sent(), messages = network.messages_sent();
  network.RunFor(10 * kSecond);
  measures->bytes_per_s = PerMember(network, network.bytes_sent() - bytes, 10);
  measures->messages_per_s = PerMember(network, network.messages_sent() - messages, 10);
}

void MeasureLoss(SimulatedNetwork& network, Measures* measures) {
  const std::uint64_t before = network.Refutations();
  network.SetLoss(0.1);
  const int seconds = network.size() > 100 ? 10 : 30;
  for (int step = 0; step < 10 * seconds; ++step) {
    network.RunFor(100 * kMillisecond);
    measures->wrong_deaths += network.AllAgree() ? 0 : 1;
  }
  network.SetLoss(0);
  measures->refutations_per_minute = 60.0 / seconds * static_cast<double>(network.Refutations() - before);
}

void MeasureKill(SimulatedNetwork& network, Measures* measures) {
  network.Kill(1);
  const auto first =
      network.RunUntil([&] { return !network.Sees(0, 1) || !network.Sees(2, 1); }, kMeasureTimeout);
  measures->first_detects_s = Seconds(first);
  measures->all_detect_s = measures->first_detects_s +
                           Seconds(network.RunUntil([&] { return network.AllAgree(); }, kMeasureTimeout));
  network.Start(1);
  network.RunFor(5 * kSecond);
  network.Leave(1);
  measures->leave_s = Seconds(network.RunUntil([&] { return network.AllAgree(); }, kMeasureTimeout));
  network.Start(1);
  network.RunFor(5 * kSecond);
}

void MeasurePartition(SimulatedNetwork& network, Measures* measures) {
  const int middle = network.size() / 2;
  const std::uint64_t bytes = network.bytes_sent();
  const Time start = network.now();
  std::vector<int> left, right;
  for (int i = 0; i < network.size(); ++i) (i < middle ? left : right).push_back(i);
  network.SetBlockedLinks([middle](int from, int to) { return (from < middle) != (to < middle); });
  measures->partition_s = Seconds(network.RunUntil(
      [&] { return network.AllSeeExactly(left) && network.AllSeeExactly(right); }, kMeasureTimeout));
  network.RunFor(2 * kSecond);
  network.SetBlockedLinks(nullptr);
  measures->heal_s = Seconds(network.RunUntil([&] { return network.AllAgree(); }, kMeasureTimeout));
  measures->partition_bytes_per_s =
      PerMember(network, network.bytes_sent() - bytes, Seconds(network.now() - start));
}

Measures Measure(int members) {
  Measures measures;
  SimulatedNetwork network({.members = members, .seed = 5});
  const Time start = network.now();
  network.StartAll(300 * kMillisecond);
  REQUIRE(network.RunUntil([&] { return network.AllAgree(); }, kMeasureTimeout));
  measures.start_s = Seconds(network.now() - start);
  network.RunFor(5 * kSecond);
  MeasureCalm(network, &measures);
  MeasureKill(network, &measures);
  MeasureLoss(network, &measures);
  MeasurePartition(network, &measures);
  return measures;
}

TEST_CASE("Detection times, traffic and wrong deaths stay within their bounds") {
  std::printf("%-8s %7s %7s %7s %7s %8s %8s %10s %7s %7s %7s %9s\n", "members", "start", "kill,1st",
              "kill,all", "leave", "msg/s", "bytes/s", "wrong/min", "deaths", "cut", "heal", "cut B/s");
  for (const int members : {10, 100, 300}) {
    const Measures m = Measure(members);
    std::printf("%-8d %6.2fs %6.2fs %6.2fs %6.2fs %8.1f %8.0f %10.1f %7.0f %6.2fs %6.2fs %9.0f\n", members,
                m.start_s, m.first_detects_s, m.all_detect_s, m.leave_s, m.messages_per_s, m.bytes_per_s,
                m.refutations_per_minute, m.wrong_deaths, m.partition_s, m.heal_s, m.partition_bytes_per_s);
    CHECK(m.start_s < 3);
    CHECK(m.all_detect_s < 3.2);
    CHECK(m.leave_s < 0.7);
    CHECK(m.bytes_per_s < 2000);
    CHECK(m.refutations_per_minute <= members / 10.0);
    CHECK(m.wrong_deaths == 0);
    CHECK(m.partition_s < 8);
    CHECK(m.heal_s < 5);
  }
}

}  // namespace
}  // namespace lichenlug::membership_ring
