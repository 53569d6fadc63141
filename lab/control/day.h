// A day of the simulation: the machines, and what befalls them when. Drawn from a seed, or a named scenario.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/control/network.h"

namespace lichenlug::lab::control {

enum class Trouble {
  kKill,           // SIGKILL; started again after `lasts`
  kTerminate,      // SIGTERM; started again `lasts` after its exit
  kReload,         // SIGHUP
  kPowerOff,       // of some machines from `machine` on, `count` in number; back after `lasts`
  kFreeze,         // the process stands still
  kCutOff,         // from all others, both ways
  kCutIncoming,    // from all others, one way
  kSplit,          // the stores into two halves
  kSlowLink,       // 1 Mbit/s
  kDiskStall,      // no write ends
  kDiskFull,       // each write is refused
  kWipe,           // killed, its disk lost, started again after `lasts`
  kQuota,          // 70 ms of each 100 ms frozen
  kLoseAnswers,    // answers to calls are lost
  kClockStep,      // killed; the wall clock is `step` off from its next start on
  kChange,         // an operator changes the configuration
  kRace,           // two operators change it on the same base
  kRunnerDrains,   // says so, then ends
  kRunnerLeaves,   // says DELETE first
  kRunnerCrashes,  // says nothing
};
inline constexpr int kTroubles = static_cast<int>(Trouble::kRunnerCrashes) + 1;

const char* NameOf(Trouble trouble);

struct Event {
  Trouble trouble = Trouble::kChange;
  Time at = 0;
  Time lasts = 0;
  MachineIndex machine = 0;  // or runner, modulo their number
  std::size_t count = 1;
  Time step = 0;
};

struct Day {
  std::uint64_t seed = 0;
  std::string name = "drawn";
  std::size_t stores = 3;  // the first machines, which are the seeds too
  std::size_t others = 2;  // without a disk
  std::size_t zones = 2;
  std::size_t runners = 4;
  int tolerated = 1;
  std::size_t configuration_bytes = 4'000;
  double others_bytes_per_microsecond = 1.25;  // 10 Mbit/s
  Time in_force_within = 2 * kSecond;          // of its acknowledgement, a configuration
  Time first_change_at = 600 * kMillisecond;
  Time troubles_end = 24 * kSecond;  // all have ended by then
  std::vector<Event> events;         // in order of time

  std::size_t machines() const { return stores + others; }
};

// Everything from the seed alone.
Day DrawDay(std::uint64_t seed);

// Days after what operators have met, by name; each with a seed for what is left to chance.
std::vector<std::string> ScenarioNames();
Day Scenario(const std::string& name, std::uint64_t seed);  // throws std::invalid_argument

std::string Describe(const Event& event);

}  // namespace lichenlug::lab::control
