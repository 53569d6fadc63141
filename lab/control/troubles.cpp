// Fault injection: applies the events of a day to the testbed.
#include <algorithm>
#include <utility>

#include "lab/control/bounds.h"
#include "lab/control/world.h"

namespace lichenlug::lab::control {

namespace {

constexpr Time kOperatorTimeout = 8 * kSecond;

}  // namespace

void Testbed::Inject(const Event& event) {
  const MachineIndex machine = event.machine % machines_.size();
  switch (event.kind) {
    case EventKind::kKill:
    case EventKind::kTerminate:
    case EventKind::kReload:
    case EventKind::kFreeze:
    case EventKind::kQuota:
    case EventKind::kClockStep:
      return InjectProcessFault(event, machine);
    case EventKind::kPowerOff:
      return PowerOff(event);
    case EventKind::kCutOff:
    case EventKind::kCutIncoming:
    case EventKind::kSlowLink:
      return InjectNetworkFault(event, machine);
    case EventKind::kSplit:
      return Split(event);
    case EventKind::kDiskStall:
    case EventKind::kDiskFull:
    case EventKind::kWipe:
      return InjectDiskFault(event, event.machine % day_.stores);
    case EventKind::kLoseAnswers:
      loses_answers_until_[machine] = std::max(loses_answers_until_[machine], events_.now() + event.duration);
      return;
    case EventKind::kChange:
    case EventKind::kRace: {
      Operator::Task task;
      task.tag = std::to_string(operators_.size());
      task.first_machine = machine;
      task.configuration_bytes = day_.configuration_bytes;
      task.deadline = events_.now() + kOperatorTimeout;
      operators_.push_back(std::make_unique<Operator>(this, &events_, &history_, &in_force_, task));
      Operator& first = *operators_.back();
      if (event.kind == EventKind::kRace) {
        first.OnRead([this, task](const Version& version) {
          Operator::Task second = task;
          second.tag = std::to_string(operators_.size()) + "-on-same-base";
          second.base = version;
          second.first_machine = task.first_machine + 1;
          operators_.push_back(std::make_unique<Operator>(this, &events_, &history_, &in_force_, second));
          operators_.back()->Begin();
        });
      }
      return first.Begin();
    }
    case EventKind::kRunnerDrains:
      return runners_[event.machine % runners_.size()]->Drain();
    case EventKind::kRunnerLeaves:
      return runners_[event.machine % runners_.size()]->Leave();
    case EventKind::kRunnerCrashes:
      return runners_[event.machine % runners_.size()]->Crash();
  }
}

void Testbed::StartAfter(MachineIndex machine, Time span) {
  ++pending_starts_;
  events_.After(span, [this, machine] {
    --pending_starts_;
    ++starts_;
    last_start_ = events_.now();
    machines_[machine]->Start();
    MarkDisturbed(machine, events_.now() + kCatchUpTime);
  });
}

void Testbed::InjectProcessFault(const Event& event, MachineIndex machine) {
  Machine& target = *machines_[machine];
  if (!target.IsRunning()) return;
  const Time until = events_.now() + event.duration;
  switch (event.kind) {
    case EventKind::kTerminate:
      start_after_exit_[machine] = event.duration;
      MarkDisturbed(machine, events_.now() + kConnectedAfter);
      return target.Terminate();
    case EventKind::kReload:
      return target.Reload();
    case EventKind::kFreeze:
      target.FreezeUntil(until);
      return MarkDisturbed(machine, until + kConnectedAfter);
    case EventKind::kQuota:
      return ApplyQuota(machine, until);
    case EventKind::kClockStep:
      target.StepClock(event.step);
      [[fallthrough]];
    default:
      target.Kill();
      return StartAfter(machine, event.duration);
  }
}

// Emulates a CPU quota: in each period the process is suspended for kSuspended and runs for the rest.
void Testbed::ApplyQuota(MachineIndex machine, Time until) {
  constexpr Time kPeriod = 100 * kMillisecond, kSuspended = 70 * kMillisecond;
  if (events_.now() >= until) return;
  MarkDisturbed(machine, events_.now() + kPeriod);
  if (machines_[machine]->IsRunning()) machines_[machine]->FreezeUntil(events_.now() + kSuspended);
  events_.After(kPeriod, [this, machine, until] { ApplyQuota(machine, until); });
}

void Testbed::PowerOff(const Event& event) {
  for (std::size_t i = 0; i < std::min(event.count, machines_.size()); ++i) {
    const MachineIndex machine = (event.machine + i) % machines_.size();
    if (!machines_[machine]->IsRunning()) continue;
    machines_[machine]->Kill();
    StartAfter(machine, event.duration + std::uniform_int_distribution<Time>(0, 2 * kStartSpread)(random_));
  }
}

void Testbed::InjectNetworkFault(const Event& event, MachineIndex machine) {
  const Time until = events_.now() + event.duration;
  MarkDisturbed(machine, until + kConnectedAfter);
  if (event.kind == EventKind::kSlowLink) {
    network_.SetSpeed(machine, kSlowedLink);
    return events_.At(until, [this, machine] {
      network_.SetSpeed(machine,
                        machine < day_.stores ? kFastLink : LinkSpeed{day_.diskless_bytes_per_microsecond});
    });
  }
  const bool both_ways = event.kind == EventKind::kCutOff;
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
  const Time until = events_.now() + event.duration;
  for (MachineIndex a = 0; a < day_.stores; ++a) {
    MarkDisturbed(a, until + kConnectedAfter);
    for (MachineIndex b = 0; b < day_.stores; ++b) {
      if (a % 2 == b % 2) continue;
      network_.Cut(a, b);
      events_.At(until, [this, a, b] { network_.Heal(a, b); });
    }
  }
}

void Testbed::InjectDiskFault(const Event& event, MachineIndex machine) {
  const Time until = events_.now() + event.duration;
  if (event.kind == EventKind::kWipe) return Wipe(event, machine);
  MarkDisturbed(machine, until + kConnectedAfter);
  if (event.kind == EventKind::kDiskStall)
    machines_[machine]->disk().StallUntil(until);
  else
    machines_[machine]->disk().FillUntil(until);
}

// Wipes no more disks than the deployment tolerates.
void Testbed::Wipe(const Event& event, MachineIndex machine) {
  if (wiped_disks_ >= static_cast<std::size_t>(day_.tolerated) || !machines_[machine]->IsRunning()) return;
  ++wiped_disks_;
  machines_[machine]->Kill();
  machines_[machine]->disk().Wipe();
  StartAfter(machine, event.duration);
}

void Testbed::MarkDisturbed(MachineIndex machine, Time until) {
  disturbed_until_[machine] = std::max(disturbed_until_[machine], until);
}

}  // namespace lichenlug::lab::control
