// A day of the simulation: the machines and the events that are injected, drawn from a seed or built from a
// named scenario.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/control/network.h"

namespace lichenlug::lab::control {

enum class EventKind {
  kKill,           // SIGKILL; started again after `duration`
  kTerminate,      // SIGTERM; started again `duration` after its exit
  kReload,         // SIGHUP
  kPowerOff,       // of `count` machines from `machine` on; started again after `duration`
  kFreeze,         // the process is suspended
  kCutOff,         // network partition from all others, both ways
  kCutIncoming,    // messages from all others are lost
  kSplit,          // network partition of the stores into two halves
  kSlowLink,       // 1 Mbit/s
  kDiskStall,      // no write completes
  kDiskFull,       // each write fails
  kWipe,           // killed, its disk lost, started again after `duration`
  kQuota,          // CPU quota: suspended for 70 ms of each 100 ms
  kLoseAnswers,    // responses to calls are lost
  kClockStep,      // killed; the wall clock is shifted by `step` from the next start on
  kChange,         // an operator changes the configuration
  kRace,           // two operators change the configuration on the same base
  kRunnerDrains,   // reports that it drains, then ends
  kRunnerLeaves,   // sends DELETE at once
  kRunnerCrashes,  // stops without a message
};
inline constexpr int kEventKinds = static_cast<int>(EventKind::kRunnerCrashes) + 1;

const char* NameOf(EventKind kind);

struct Event {
  EventKind kind = EventKind::kChange;
  Time at = 0;
  Time duration = 0;
  MachineIndex machine = 0;  // or the runner, modulo the number of runners
  std::size_t count = 1;
  Time step = 0;
};

struct Day {
  std::uint64_t seed = 0;
  std::string name = "drawn";
  std::size_t stores = 3;    // machines with a disk, numbered first; the first of them are the seeds
  std::size_t diskless = 2;  // machines without a disk
  std::size_t zones = 2;
  std::size_t runners = 4;
  int tolerated = 1;
  std::size_t configuration_bytes = 4'000;
  double diskless_bytes_per_microsecond = 1.25;  // 10 Mbit/s
  Time in_force_within = 2 * kSecond;            // the maximum delay from acknowledgement to use
  Time first_change_at = 600 * kMillisecond;
  Time faults_end = 24 * kSecond;  // all events are over by then
  // Each runner's last heartbeat arrives once more this long after its end was acknowledged; none: does not.
  std::optional<Time> late_heartbeat_after;
  std::vector<Event> events;  // sorted by time

  std::size_t machines() const { return stores + diskless; }
};

// Determined by the seed alone.
Day DrawDay(std::uint64_t seed);

// Named days that reproduce problems seen in operation; the seed determines what a scenario leaves open.
std::vector<std::string> ScenarioNames();
Day Scenario(const std::string& name, std::uint64_t seed);  // throws std::invalid_argument

std::string Describe(const Event& event);

}  // namespace lichenlug::lab::control
