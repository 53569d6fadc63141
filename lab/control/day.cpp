#include "lab/control/day.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <stdexcept>

namespace lichenlug::lab::control {

namespace {

constexpr Time kFaultsBegin = 6 * kSecond;
constexpr Time kMaxFaultDuration = 5 * kSecond;
constexpr Time kLateHeartbeat = 4 * kSecond;

constexpr std::array<const char*, kEventKinds> kNames = {
    "kill",       "terminate", "reload", "power-off",     "freeze",        "cut-off",       "cut-incoming",
    "split",      "slow-link", "stall",  "disk-full",     "wipe",          "quota",         "lose-answers",
    "clock-step", "change",    "race",   "runner-drains", "runner-leaves", "runner-crashes"};

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }
  Time Span(Time min, Time max) { return std::uniform_int_distribution<Time>(min, max)(random_); }
  bool Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

 private:
  std::mt19937_64 random_;
};

void Add(Day* day, EventKind kind, Time at, MachineIndex machine = 0, Time duration = kSecond,
         std::size_t count = 1) {
  Event event;
  event.kind = kind;
  event.at = at;
  event.duration = duration;
  event.machine = machine;
  event.count = count;
  day->events.push_back(event);
}

void Sort(Day* day) {
  std::stable_sort(day->events.begin(), day->events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
}

void DrawSize(RandomSource* draw, Day* day) {
  constexpr std::array<std::size_t, 3> kStores = {3, 5, 7};
  day->stores = kStores[draw->Below(kStores.size())];
  day->tolerated = day->stores == 3 ? 1 : static_cast<int>(1 + draw->Below(2));
  day->diskless = draw->Chance(0.2) ? draw->Below(24) : draw->Below(6);
  day->configuration_bytes = draw->Chance(0.3) ? 60'000 : 3'000;
  if (draw->Chance(0.3)) day->diskless_bytes_per_microsecond = 12.5;
  if (draw->Chance(0.2)) day->first_change_at = draw->Span(0, 3 * kSecond);
}

Event DrawEvent(RandomSource* draw, const Day& day) {
  Event event;
  event.kind = static_cast<EventKind>(draw->Below(kEventKinds));
  event.at = draw->Span(kFaultsBegin, day.faults_end - kMaxFaultDuration);
  event.duration = draw->Span(50 * kMillisecond, kMaxFaultDuration);
  event.machine = draw->Below(day.machines());
  event.count = 1 + draw->Below(day.machines());
  event.step = draw->Span(-3 * kSecond, 3 * kSecond);
  const bool is_disk_fault = event.kind == EventKind::kDiskStall || event.kind == EventKind::kDiskFull ||
                             event.kind == EventKind::kWipe;
  if (is_disk_fault) event.machine = draw->Below(day.stores);
  return event;
}

// A deployment of hundreds of machines.
void MakeLarge(Day* day) {
  day->stores = 5;
  day->tolerated = 2;
  day->diskless = 295;
  day->zones = 5;
  day->configuration_bytes = 50'000;
  day->diskless_bytes_per_microsecond = 1.25;
  day->in_force_within = 3 * kSecond;
  day->first_change_at = 600 * kMillisecond;
}

// One fault on many machines at once, as when a rack or a zone fails.
void AddCorrelatedFault(RandomSource* draw, Day* day) {
  constexpr std::array<EventKind, 4> kCorrelatedFaults = {EventKind::kCutOff, EventKind::kKill,
                                                          EventKind::kFreeze, EventKind::kTerminate};
  const EventKind kind = kCorrelatedFaults[draw->Below(kCorrelatedFaults.size())];
  const Time at = draw->Span(kFaultsBegin, day->faults_end - kMaxFaultDuration);
  const Time duration = draw->Span(kSecond, kMaxFaultDuration);
  const MachineIndex first = day->stores + draw->Below(day->diskless);
  for (std::size_t i = 0; i < day->diskless / 6; ++i)
    Add(day, kind, at, day->stores + (first + i) % day->diskless, duration);
}

// Events of any kind, a large share of them on machines with a store, and many configuration changes.
void DrawLarge(RandomSource* draw, Day* day) {
  MakeLarge(day);
  const std::size_t event_count = 2 + draw->Below(8);
  for (std::size_t i = 0; i < event_count; ++i) {
    Event event = DrawEvent(draw, *day);
    if (draw->Chance(0.4)) event.machine = draw->Below(day->stores);
    day->events.push_back(event);
  }
  if (draw->Chance(0.6)) AddCorrelatedFault(draw, day);
  const std::size_t changes = 3 + draw->Below(8);
  for (std::size_t i = 0; i < changes; ++i) {
    Add(day, draw->Chance(0.3) ? EventKind::kRace : EventKind::kChange,
        draw->Span(kFaultsBegin, day->faults_end - kMaxFaultDuration), draw->Below(day->machines()));
  }
}

// All machines lose power while one disk is lost and the others complete no write.
void LoseDiskWhileOthersStall(RandomSource* draw, Day* day) {
  const MachineIndex lost = draw->Below(day->stores);
  for (MachineIndex i = 0; i < day->stores; ++i)
    if (i != lost) Add(day, EventKind::kDiskStall, 7900 * kMillisecond, i, draw->Span(1, 3) * kSecond);
  const Time at = 8 * kSecond + draw->Span(100, 900) * kMillisecond;
  Add(day, EventKind::kWipe, at - kMillisecond, lost, kSecond);
  Add(day, EventKind::kPowerOff, at, 0, 500 * kMillisecond, day->machines());
}

using BuildDay = std::function<void(Day* day, RandomSource* draw)>;

// Problems seen in operation, and each incident of docs/incidents that concerns the control plane.
const std::map<std::string, BuildDay>& Scenarios() {
  static const std::map<std::string, BuildDay> scenarios = {
      {"calm", [](Day*, RandomSource*) {}},
      {"change-under-loss",
       [](Day* day, RandomSource* draw) {
         Add(day, EventKind::kKill, 8 * kSecond, draw->Below(day->stores), 3 * kSecond);
         for (Time at = 7 * kSecond; at < 12 * kSecond; at += 700 * kMillisecond)
           Add(day, EventKind::kChange, at, draw->Below(day->machines()));
       }},
      {"power-off-all",
       [](Day* day, RandomSource* draw) {
         Add(day, EventKind::kChange, 9 * kSecond + draw->Span(0, 900 * kMillisecond));
         Add(day, EventKind::kPowerOff, 10 * kSecond, 0, 600 * kMillisecond, day->machines());
         Add(day, EventKind::kRace, 10 * kSecond + draw->Span(500, 2500) * kMillisecond);
       }},
      {"power-off-all-seven-stores",  // docs/incidents/config-flood.md
       [](Day* day, RandomSource* draw) {
         day->stores = 7;
         day->tolerated = 2;
         day->diskless = 20;
         day->configuration_bytes = 60'000;
         day->diskless_bytes_per_microsecond = 1.25;
         Add(day, EventKind::kPowerOff, 10 * kSecond, 0, 600 * kMillisecond, day->machines());
         Add(day, EventKind::kRace, 10 * kSecond + draw->Span(700, 1500) * kMillisecond, 9);
       }},
      {"changes-at-hundreds-of-machines",  // docs/incidents/config-late.md
       [](Day* day, RandomSource* draw) {
         MakeLarge(day);
         for (Time at = 9 * kSecond; at < 15 * kSecond; at += draw->Span(50, 900) * kMillisecond)
           Add(day, draw->Chance(0.3) ? EventKind::kRace : EventKind::kChange, at,
               draw->Below(day->machines()));
       }},
      {"drawn-at-hundreds-of-machines", [](Day* day, RandomSource* draw) { DrawLarge(draw, day); }},
      {"power-off-all-of-hundreds",
       [](Day* day, RandomSource* draw) {
         MakeLarge(day);
         Add(day, EventKind::kChange, 9 * kSecond + draw->Span(0, 900) * kMillisecond,
             draw->Below(day->machines()));
         Add(day, EventKind::kWipe, 10 * kSecond - kMillisecond, draw->Below(day->stores), kSecond);
         Add(day, EventKind::kPowerOff, 10 * kSecond, 0, 600 * kMillisecond, day->machines());
       }},
      {"change-while-founding",
       [](Day* day, RandomSource* draw) { day->first_change_at = draw->Span(0, 400 * kMillisecond); }},
      {"two-disks-lost-just-after-founding",
       [](Day* day, RandomSource* draw) {
         day->stores = 5;
         day->tolerated = 2;
         day->first_change_at = draw->Span(100, 1500) * kMillisecond;
         const Time at = day->first_change_at + draw->Span(5, 1500) * kMillisecond;
         const MachineIndex first = draw->Below(day->stores);
         Add(day, EventKind::kWipe, at, first, kSecond);
         Add(day, EventKind::kWipe, at, (first + 1 + draw->Below(day->stores - 1)) % day->stores, kSecond);
       }},
      {"two-disks-lost-before-others-have-started",
       [](Day* day, RandomSource* draw) {
         day->stores = 5;
         day->tolerated = 2;
         Add(day, EventKind::kKill, 310 * kMillisecond, 3, 3 * kSecond);
         Add(day, EventKind::kKill, 310 * kMillisecond, 4, 3 * kSecond);
         day->first_change_at = draw->Span(400, 800) * kMillisecond;
         const Time at = day->first_change_at + draw->Span(200, 1500) * kMillisecond;
         const MachineIndex intact = draw->Below(3);
         Add(day, EventKind::kWipe, at, (intact + 1) % 3, kSecond);
         Add(day, EventKind::kWipe, at, (intact + 2) % 3, kSecond);
       }},
      {"wiped-disk",
       [](Day* day, RandomSource* draw) {
         Add(day, EventKind::kChange, 8 * kSecond);
         Add(day, EventKind::kWipe, 9 * kSecond, draw->Below(day->stores), kSecond);
         Add(day, EventKind::kChange, 10 * kSecond);
       }},
      {"rolling-restart",
       [](Day* day, RandomSource*) {
         for (MachineIndex i = 0; i < day->machines(); ++i)
           Add(day, EventKind::kTerminate, (7 + 2 * static_cast<Time>(i)) * kSecond, i, 300 * kMillisecond);
         day->faults_end = (16 + 2 * static_cast<Time>(day->machines())) * kSecond;
       }},
      {"core-split",
       [](Day* day, RandomSource* draw) {
         Add(day, EventKind::kSplit, 8 * kSecond, 0, 4 * kSecond);
         for (Time at = 8 * kSecond; at < 13 * kSecond; at += 600 * kMillisecond)
           Add(day, EventKind::kChange, at, draw->Below(day->machines()));
         Add(day, EventKind::kRunnerDrains, 9 * kSecond, 1);
       }},
      {"frozen-holder",
       [](Day* day, RandomSource*) {
         for (MachineIndex i = 0; i < day->stores; ++i)
           Add(day, EventKind::kFreeze, (7 + 4 * static_cast<Time>(i)) * kSecond, i, 3900 * kMillisecond);
         day->faults_end = (12 + 4 * static_cast<Time>(day->stores)) * kSecond;
       }},
      {"lost-answers-and-races",
       [](Day* day, RandomSource* draw) {
         Add(day, EventKind::kLoseAnswers, 7 * kSecond, 0, 4 * kSecond);
         Add(day, EventKind::kLoseAnswers, 7 * kSecond, 1, 4 * kSecond);
         for (Time at = 7 * kSecond; at < 12 * kSecond; at += 500 * kMillisecond)
           Add(day, EventKind::kRace, at, draw->Below(day->machines()));
       }},
      {"late-heartbeats-after-all-were-killed",  // docs/incidents/forgotten-ends-81.md
       [](Day* day, RandomSource* draw) {
         day->late_heartbeat_after = draw->Span(2500, 5000) * kMillisecond;
         Add(day, EventKind::kRunnerLeaves, 8 * kSecond, 1);
         Add(day, EventKind::kRunnerDrains, 8 * kSecond, 2);
         const Time at = 8 * kSecond + draw->Span(100, 500) * kMillisecond;
         Add(day, EventKind::kRunnerCrashes, at, 2);  // so that it repeats the drain to no later process
         Add(day, EventKind::kPowerOff, at, 0, 500 * kMillisecond, day->machines());
       }},
      {"ends-announced-while-disks-stall",
       [](Day* day, RandomSource* draw) {
         day->configuration_bytes = 4'000;
         day->late_heartbeat_after = draw->Span(2500, 5000) * kMillisecond;
         LoseDiskWhileOthersStall(draw, day);
         Add(day, EventKind::kRunnerLeaves, 8 * kSecond, 1);
         Add(day, EventKind::kRunnerLeaves, 8 * kSecond, 2);
       }},
      {"ends-announced-beside-full-disks-and-freezes",
       [](Day* day, RandomSource* draw) {
         day->configuration_bytes = 4'000;
         day->late_heartbeat_after = draw->Span(2500, 5000) * kMillisecond;
         const Time begin = 7900 * kMillisecond, span = draw->Span(1, 3) * kSecond;
         const MachineIndex full = draw->Below(day->stores);
         Add(day, EventKind::kDiskFull, begin, full, span);
         Add(day, EventKind::kFreeze, begin, (full + 1) % day->stores, span);
         Add(day, EventKind::kRunnerLeaves, 8 * kSecond, 1);
         Add(day, EventKind::kRunnerDrains, 8 * kSecond, 2);
         const Time at = 8 * kSecond + draw->Span(100, 2000) * kMillisecond;
         Add(day, EventKind::kRunnerCrashes, at, 2);
         Add(day, EventKind::kWipe, at - kMillisecond, (full + 2) % day->stores, kSecond);
         Add(day, EventKind::kPowerOff, at, 0, 500 * kMillisecond, day->machines());
       }},
      {"disk-lost-while-others-stall",
       [](Day* day, RandomSource* draw) { LoseDiskWhileOthersStall(draw, day); }},
      {"drains-beside-cuts",
       [](Day* day, RandomSource* draw) {
         Add(day, EventKind::kCutOff, 7 * kSecond, draw->Below(day->machines()), 4 * kSecond);
         Add(day, EventKind::kCutIncoming, 8 * kSecond, draw->Below(day->machines()), 4 * kSecond);
         for (std::size_t i = 0; i < day->runners; ++i)
           Add(day, EventKind::kRunnerDrains, 8 * kSecond + static_cast<Time>(i) * 700 * kMillisecond, i);
       }},
      {"disks-full-and-stalled",
       [](Day* day, RandomSource*) {
         for (MachineIndex i = 0; i < day->stores; ++i) {
           Add(day, EventKind::kDiskFull, (7 + 2 * static_cast<Time>(i)) * kSecond, i, 2500 * kMillisecond);
           Add(day, EventKind::kDiskStall, (8 + 2 * static_cast<Time>(i)) * kSecond, i, 2 * kSecond);
         }
         for (Time at = 7 * kSecond; at < 14 * kSecond; at += 800 * kMillisecond)
           Add(day, EventKind::kChange, at);
         day->faults_end = 28 * kSecond;
       }},
  };
  return scenarios;
}

}  // namespace

const char* NameOf(EventKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

Day DrawDay(std::uint64_t seed) {
  RandomSource draw(seed);
  Day day;
  day.seed = seed;
  DrawSize(&draw, &day);
  const std::size_t count = draw.Below(13);
  for (std::size_t i = 0; i < count; ++i) day.events.push_back(DrawEvent(&draw, day));
  // Faults often coincide: some events begin up to 50 ms after the one before.
  for (std::size_t i = 1; i < day.events.size(); ++i) {
    if (draw.Chance(0.3)) day.events[i].at = day.events[i - 1].at + draw.Span(0, 50 * kMillisecond);
  }
  Sort(&day);
  if (seed % 2 == 1) day.late_heartbeat_after = kLateHeartbeat;
  return day;
}

std::vector<std::string> ScenarioNames() {
  std::vector<std::string> names;
  for (const auto& [name, build] : Scenarios()) names.push_back(name);
  return names;
}

Day Scenario(const std::string& name, std::uint64_t seed) {
  const auto found = Scenarios().find(name);
  if (found == Scenarios().end())
    throw std::invalid_argument("unknown scenario " + name + "; see lichenlug-lab control --list");
  RandomSource draw(seed);
  Day day;
  day.seed = seed;
  day.name = name;
  DrawSize(&draw, &day);
  found->second(&day, &draw);
  Sort(&day);
  return day;
}

std::string Describe(const Event& event) {
  char line[160];
  std::snprintf(line, sizeof line, "%7.3f s  %-14s machine %zu, %.3f s, count %zu, step %.3f s",
                static_cast<double>(event.at) / kSecond, NameOf(event.kind), event.machine,
                static_cast<double>(event.duration) / kSecond, event.count,
                static_cast<double>(event.step) / kSecond);
  return line;
}

}  // namespace lichenlug::lab::control
