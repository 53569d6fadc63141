// Fault injection: applies the events of a day to the testbed.
#include <algorithm>
#include <utility>

#include "lab/control/bounds.h"
#include "lab/control/world.h"

namespace lichenlug::lab::control {

namespace {

constexpr Time kOperatorTimeout = 8 * kSecond;

}  // namespace

void Testbed::Strike(const Event& event) {
  const MachineIndex machine = event.machine % machines_.size();
  switch (event.trouble) {
    case Trouble::kKill:
    case Trouble::kTerminate:
    case Trouble::kReload:
    case Trouble::kFreeze:
    case Trouble::kQuota:
    case Trouble::kClockStep:
      return StrikeProcess(event, machine);
    case Trouble::kPowerOff:
      return PowerOff(event);
    case Trouble::kCutOff:
    case Trouble::kCutIncoming:
    case Trouble::kSlowLink:
      return StrikeNetwork(event, machine);
    case Trouble::kSplit:
      return Split(event);
    case Trouble::kDiskStall:
    case Trouble::kDiskFull:
    case Trouble::kWipe:
      return StrikeDisk(event, event.machine % day_.stores);
    case Trouble::kLoseAnswers:
      loses_answers_until_[machine] = std::max(loses_answers_until_[machine], events_.now() + event.lasts);
      return;
    case Trouble::kChange:
    case Trouble::kRace: {
      Operator::Task task;
      task.tag = std::to_string(operators_.size());
      task.first_asked = machine;
      task.configuration_bytes = day_.configuration_bytes;
      task.deadline = events_.now() + kOperatorTimeout;
      operators_.push_back(std::make_unique<Operator>(this, &events_, &history_, &in_force_, task));
      Operator& first = *operators_.back();
      if (event.trouble == Trouble::kRace) {
        first.OnRead([this, task](const Version& version) {
          Operator::Task second = task;
          second.tag = std::to_string(operators_.size()) + "-on-same-base";
          second.base = version;
          second.first_asked = task.first_asked + 1;
          operators_.push_back(std::make_unique<Operator>(this, &events_, &history_, &in_force_, second));
          operators_.back()->Begin();
        });
      }
      return first.Begin();
    }
    case Trouble::kRunnerDrains:
      return runners_[event.machine % runners_.size()]->Drain();
    case Trouble::kRunnerLeaves:
      return runners_[event.machine % runners_.size()]->Leave();
    case Trouble::kRunnerCrashes:
      return runners_[event.machine % runners_.size()]->Crash();
  }
}

void Testbed::StartAfter(MachineIndex machine, Time span) {
  ++planned_starts_;
  events_.After(span, [this, machine] {
    --planned_starts_;
    ++starts_;
    last_start_ = events_.now();
    machines_[machine]->Start();
    Disturb(machine, events_.now() + kCatchUp);
  });
}

void Testbed::StrikeProcess(const Event& event, MachineIndex machine) {
  Machine& struck = *machines_[machine];
  if (!struck.Runs()) return;
  const Time until = events_.now() + event.lasts;
  switch (event.trouble) {
    case Trouble::kTerminate:
      start_after_exit_[machine] = event.lasts;
      Disturb(machine, events_.now() + kContact);
      return struck.Terminate();
    case Trouble::kReload:
      return struck.Reload();
    case Trouble::kFreeze:
      struck.FreezeUntil(until);
      return Disturb(machine, until + kContact);
    case Trouble::kQuota:
      return Quota(machine, until);
    case Trouble::kClockStep:
      struck.StepClock(event.step);
      [[fallthrough]];
    default:
      struck.Kill();
      return StartAfter(machine, event.lasts);
  }
}

// Emulates a CPU quota: in each period the process is suspended for kSpent and runs for the rest.
void Testbed::Quota(MachineIndex machine, Time until) {
  constexpr Time kPeriod = 100 * kMillisecond, kSpent = 70 * kMillisecond;
  if (events_.now() >= until) return;
  Disturb(machine, events_.now() + kPeriod);
  if (machines_[machine]->Runs()) machines_[machine]->FreezeUntil(events_.now() + kSpent);
  events_.After(kPeriod, [this, machine, until] { Quota(machine, until); });
}

void Testbed::PowerOff(const Event& event) {
  for (std::size_t i = 0; i < std::min(event.count, machines_.size()); ++i) {
    const MachineIndex machine = (event.machine + i) % machines_.size();
    if (!machines_[machine]->Runs()) continue;
    machines_[machine]->Kill();
    StartAfter(machine, event.lasts + std::uniform_int_distribution<Time>(0, 2 * kStartSpread)(random_));
  }
}

void Testbed::StrikeNetwork(const Event& event, MachineIndex machine) {
  const Time until = events_.now() + event.lasts;
  Disturb(machine, until + kContact);
  if (event.trouble == Trouble::kSlowLink) {
    network_.SetSpeed(machine, kSlowedLink);
    return events_.At(until, [this, machine] {
      network_.SetSpeed(machine,
                        machine < day_.stores ? kFastLink : LinkSpeed{day_.others_bytes_per_microsecond});
    });
  }
  const bool both_ways = event.trouble == Trouble::kCutOff;
  for (MachineIndex other = 0; other < machines_.size(); ++other) {
    if (other == machine) continue;
    network_.Cut(other, machine);
    if (both_ways) network_.Cut(machine, other);
    events_.At(until, [this, machine, other] {
      network_.Heal(other, machine);
      network_.Heal(machine, other);
    });
  }
}

void Testbed::Split(const Event& event) {
  const Time until = events_.now() + event.lasts;
  for (MachineIndex a = 0; a < day_.stores; ++a) {
    Disturb(a, until + kContact);
    for (MachineIndex b = 0; b < day_.stores; ++b) {
      if (a % 2 == b % 2) continue;
      network_.Cut(a, b);
      events_.At(until, [this, a, b] { network_.Heal(a, b); });
    }
  }
}

void Testbed::StrikeDisk(const Event& event, MachineIndex machine) {
  const Time until = events_.now() + event.lasts;
  if (event.trouble == Trouble::kWipe) return Wipe(event, machine);
  Disturb(machine, until + kContact);
  if (event.trouble == Trouble::kDiskStall)
    machines_[machine]->disk().StallUntil(until);
  else
    machines_[machine]->disk().FillUntil(until);
}

// Wipes no more disks than the deployment tolerates.
void Testbed::Wipe(const Event& event, MachineIndex machine) {
  if (wiped_ >= static_cast<std::size_t>(day_.tolerated) || !machines_[machine]->Runs()) return;
  ++wiped_;
  machines_[machine]->Kill();
  machines_[machine]->disk().Wipe();
  StartAfter(machine, event.lasts);
}

void Testbed::Disturb(MachineIndex machine, Time until) {
  disturbed_until_[machine] = std::max(disturbed_until_[machine], until);
}

}  // namespace lichenlug::lab::control
