#include "scenario.h"

#include <algorithm>

namespace lichenlug::consensus {
namespace {

const std::vector<std::string> kRegisters = {"configuration", "duties/3"};
constexpr Time kTimeout = 1500 * kMillisecond;
constexpr Time kRecoveryTimeout = 20 * kSecond;  // maximum time to recover after the last fault

class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        testbed_(seed, scenario.founders, scenario.others_with_disk, scenario.without_disk) {}

  std::vector<std::string> Run() {
    testbed_.network = scenario_.network;
    faults_end_ = testbed_.now() + scenario_.duration;
    MakeCalls();
    Reconcile();
    InjectFaults();
    testbed_.RunUntil(faults_end_);
    EndFaults();
    auto violations = CheckProgress();
    const auto more = testbed_.Violations();
    violations.insert(violations.end(), more.begin(), more.end());
    return violations;
  }

 private:
  const std::string& RandomRegister() { return kRegisters[testbed_.Draw(kRegisters.size())]; }
  int RandomRunning() {
    const auto running = testbed_.Running();
    return running.empty() ? -1 : running[testbed_.Draw(running.size())];
  }
  bool IsFrozen(int index) { return testbed_.machine(index).frozen_until > testbed_.now(); }
  Time RandomTime(Time span) { return static_cast<Time>(testbed_.Draw(static_cast<std::uint64_t>(span))); }

  std::string Expectation(const std::string& name) {
    return testbed_.Chance(0.3) ? testbed_.history(name).LastProposed() : testbed_.LastReportedPayload(name);
  }

  // Makes calls of every kind at random machines while the faults last.
  void MakeCalls() {
    if (testbed_.now() >= faults_end_) return;
    testbed_.At(testbed_.now() + RandomTime(60 * kMillisecond), [this] { MakeCalls(); });
    const int index = RandomRunning();
    if (index < 0 || IsFrozen(index)) return;
    const std::string& name = RandomRegister();
    const Time timeout = RandomTime(kTimeout) + 1;
    switch (testbed_.Draw(3)) {
      case 0:
        testbed_.Append(index, name, timeout);
        break;
      case 1:
        testbed_.AppendAfter(index, name, Expectation(name), timeout);
        break;
      default:
        testbed_.Read(index, name, timeout);
    }
  }

  // Stands in for the rest of the dispatcher: spreads group hints and replaces lost replicas.
  void Reconcile() {
    testbed_.At(testbed_.now() + RandomTime(200 * kMillisecond), [this] { Reconcile(); });
    testbed_.ForgetReplacedLosses(kRegisters);
    const int index = RandomRunning();
    if (index < 0 || IsFrozen(index)) return;
    const std::string& name = RandomRegister();
    const auto group = testbed_.machine(index).node->KnownGroup(name);
    const int other = RandomRunning();
    testbed_.machine(other).node->LearnGroup(name, group);
    if (group.next_members_size() > 0) {
      testbed_.Read(index, name, kTimeout);  // completes the group change
      return;
    }
    std::vector<messages::ReplicaIdentity> members(group.members().begin(), group.members().end());
    const bool changed = ReplaceLost(&members) | (ShouldReplaceAnyway() && ReplaceOne(&members));
    if (changed) testbed_.ChangeGroup(index, name, {members, group.version()}, kTimeout);
  }

  bool ShouldReplaceAnyway() {
    return scenario_.group_changes && testbed_.now() < faults_end_ && testbed_.Chance(0.3);
  }

  bool IsPresent(const messages::ReplicaIdentity& member) {
    for (int i = 0; i < testbed_.machine_count(); ++i) {
      if (testbed_.machine(i).replica_id == member.replica_id()) return !testbed_.machine(i).removed;
    }
    return false;
  }

  bool Replace(messages::ReplicaIdentity* member, const std::vector<messages::ReplicaIdentity>& members) {
    std::vector<messages::ReplicaIdentity> spares;
    for (int i = 0; i < testbed_.machine_count(); ++i) {
      const Machine& machine = testbed_.machine(i);
      const bool is_member = std::any_of(members.begin(), members.end(), [&](const auto& other) {
        return other.replica_id() == machine.replica_id;
      });
      if (machine.IsRunning() && machine.has_disk && !machine.removed && !is_member) {
        spares.push_back(machine.Identity());
        if (machine.address == member->address()) spares.assign(3, machine.Identity());
      }
    }
    if (spares.empty()) return false;
    *member = spares[testbed_.Draw(spares.size())];
    return true;
  }

  bool ReplaceLost(std::vector<messages::ReplicaIdentity>* members) {
    for (auto& member : *members) {
      if (!IsPresent(member)) return Replace(&member, *members);
    }
    return false;
  }

  bool ReplaceOne(std::vector<messages::ReplicaIdentity>* members) {
    return Replace(&(*members)[testbed_.Draw(members->size())], *members);
  }

  void InjectFaults() {
    if (testbed_.now() >= faults_end_) return;
    testbed_.At(testbed_.now() + RandomTime(400 * kMillisecond), [this] { InjectFaults(); });
    const int index = RandomRunning();
    if (index < 0) return;
    switch (testbed_.Draw(7)) {
      case 0:
        if (scenario_.kills) KillSome();
        break;
      case 1:
        if (scenario_.wipes) LoseDisk(index);
        break;
      case 2:
        if (scenario_.freezes) testbed_.Freeze(index, RandomTime(kSecond));
        break;
      case 3:
        if (scenario_.cuts) PartitionMachine(index);
        break;
      case 4:
        if (scenario_.disk_faults)
          testbed_.machine(index).disk_stalls_until = testbed_.now() + RandomTime(kSecond);
        break;
      case 5:
        if (scenario_.disk_faults)
          testbed_.machine(index).disk_fails_until = testbed_.now() + RandomTime(kSecond);
        break;
      default:
        testbed_.cuts.clear();
    }
  }

  void KillSome() {
    const bool all = testbed_.Chance(0.2);
    for (const int index : testbed_.Running()) {
      if (!all && !testbed_.Chance(0.3)) continue;
      testbed_.Kill(index);
      testbed_.At(testbed_.now() + RandomTime(kSecond), [this, index] { testbed_.Start(index); });
    }
  }

  // A machine loses its disk and restarts with an empty one, or is replaced by one at another address.
  void LoseDisk(int index) {
    const int tolerated = (scenario_.founders - 1) / 2;
    if (!testbed_.machine(index).has_disk || testbed_.lost_replica_count() >= tolerated) return;
    int successor = index;
    if (testbed_.Chance(0.3)) {
      testbed_.Remove(index);
      successor = testbed_.Add(/*with_disk=*/true);
    } else {
      testbed_.Wipe(index);
    }
    testbed_.At(testbed_.now() + RandomTime(kSecond), [this, successor] { testbed_.Start(successor); });
  }

  void PartitionMachine(int index) {
    for (int other = 0; other < testbed_.machine_count(); ++other) {
      if (testbed_.Chance(0.5)) testbed_.cuts.insert({index, other});
      if (testbed_.Chance(0.5)) testbed_.cuts.insert({other, index});
    }
  }

  void EndFaults() {
    testbed_.network = {};
    testbed_.cuts.clear();
    for (int i = 0; i < testbed_.machine_count(); ++i) {
      Machine& machine = testbed_.machine(i);
      machine.frozen_until = machine.disk_stalls_until = machine.disk_fails_until = 0;
      testbed_.Start(i);
    }
  }

  std::vector<std::string> CheckProgress() {
    std::vector<std::pair<std::string, int>> calls;
    for (const auto& name : kRegisters) {
      for (const int index : testbed_.Running()) {
        calls.emplace_back(name, testbed_.Append(index, name, kRecoveryTimeout));
        calls.emplace_back(name, testbed_.Read(index, name, kRecoveryTimeout));
      }
    }
    const auto done = [&] {
      return std::all_of(calls.begin(), calls.end(), [this](const auto& call) {
        return testbed_.history(call.first).Succeeded(call.second);
      });
    };
    if (testbed_.RunUntil(testbed_.now() + kRecoveryTimeout, done)) return {};
    return {"no progress after the end of the faults"};
  }

  Scenario scenario_;
  Testbed testbed_;
  Time faults_end_ = 0;
};

}  // namespace

std::vector<std::string> RunScenario(const Scenario& scenario, std::uint64_t seed) {
  return ScenarioRun(scenario, seed).Run();
}

}  // namespace lichenlug::consensus
